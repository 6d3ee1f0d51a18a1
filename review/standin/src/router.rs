//! Processes of `reedsail-router`, with settings that are filled in from the template of the deploy file.

use std::io::BufReader;
use std::io::Write;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::path::Path;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::time::Duration;
use std::time::Instant;

use crate::http::read_head;
use crate::record::note;

const PROGRAM: &str = "target/release/reedsail-router";
const TEMPLATE: &str = "deploy/settings.yaml";
const CALLERS_PORT: u16 = 8783;
const READY_PORT: u16 = 8780;
const PEERS_PORT: u16 = 7400;
const ADMIN_PORT: u16 = 7401;
/// Memory limit of a machine of the site, in megabytes.
pub const MEMORY_MB: u64 = 260;

/// A machine on which a router runs.
#[derive(Clone, Debug)]
pub struct Machine {
    pub name: String,
    pub zone: String,
    pub ip: Ipv4Addr,
}

impl Machine {
    /// Returns machines with loopback addresses of their own, on which all ports are free.
    pub fn draw(names_and_zones: &[(&str, &str)]) -> Vec<Self> {
        let mut next = 0_u32;
        let process_id = std::process::id();
        let mut machines = Vec::new();
        for (name, zone) in names_and_zones {
            let ip = loop {
                next += 1;
                let ip = Ipv4Addr::new(
                    127,
                    20 + (process_id >> 8) as u8 % 100,
                    process_id as u8,
                    next as u8,
                );
                let ports = [CALLERS_PORT, READY_PORT, PEERS_PORT, ADMIN_PORT];
                if ports.iter().all(|port| TcpListener::bind((ip, *port)).is_ok()) {
                    break ip;
                }
                assert!(next < 250, "no loopback address with free ports");
            };
            machines.push(Self {
                name: (*name).to_owned(),
                zone: (*zone).to_owned(),
                ip,
            });
        }
        machines
    }

    pub fn callers(&self) -> SocketAddr {
        SocketAddr::new(IpAddr::V4(self.ip), CALLERS_PORT)
    }

    /// Fills in the template of the deploy file, as the platform does.
    fn settings(&self, machines: &[Self], store: SocketAddr) -> Option<String> {
        let zones = ["walu-hall", "laucala-hall", "nabua-hall"];
        let regions: Vec<String> = zones.iter().map(|zone| format!("\"{zone}\": \"suva\"")).collect();
        // On loopback addresses the router takes the port of a seed as it is.
        let seeds: Vec<String> = machines
            .iter()
            .take(3)
            .map(|machine| format!("\"{}:{PEERS_PORT}\"", machine.ip))
            .collect();
        let text = std::fs::read_to_string(TEMPLATE).ok()?;
        let text = text
            .replace(
                r#"{{#zones}}"{{@}}": "{{.}}"{{,}}{{/zones}}"#,
                &regions.join(", "),
            )
            .replace(r#"{{#seedAddrs}}"{{.}}"{{,}}{{/seedAddrs}}"#, &seeds.join(", "))
            .replace("{{node}}", &self.name)
            .replace("{{zone}}", &self.zone)
            .replace("{{listen.front}}", &self.callers().to_string())
            .replace("{{listen.ready}}", &format!("{}:{READY_PORT}", self.ip))
            .replace("{{bindIp}}", &self.ip.to_string())
            .replace("{{platform.address}}", &store.to_string())
            .replace("{{limits.memoryMb}}", &MEMORY_MB.to_string())
            .replace("{{limits.cpuShare}}", "0.25")
            .replace("{{bounds.budgetRatio}}", "0.2")
            .replace("{{bounds.budgetWindowS}}", "10")
            .replace("{{bounds.budgetSlack}}", "56")
            .replace("{{bounds.quotaWindowS}}", "4");
        (!text.contains("{{")).then_some(text)
    }

    /// Returns whether the readiness probe answers 200.
    pub fn is_ready(&self) -> bool {
        let ask = || -> Option<u16> {
            let address = SocketAddr::new(IpAddr::V4(self.ip), READY_PORT);
            let mut stream = TcpStream::connect_timeout(&address, Duration::from_millis(500)).ok()?;
            stream.set_read_timeout(Some(Duration::from_millis(500))).ok()?;
            let request = format!("GET /api/readiness HTTP/1.1\r\nHost: {address}\r\n\r\n");
            stream.write_all(request.as_bytes()).ok()?;
            Some(read_head(&mut BufReader::new(stream)).ok()??.status())
        };
        ask() == Some(200)
    }
}

/// A running router, which is killed when this is dropped.
pub struct Router {
    pub machine: Machine,
    child: Child,
}

impl Router {
    /// Starts the router of a machine. Its log goes to a file in `folder`.
    pub fn start(machine: &Machine, machines: &[Machine], store: SocketAddr, folder: &Path) -> Option<Self> {
        let settings = folder.join(format!("{}.conf", machine.name));
        std::fs::write(&settings, machine.settings(machines, store)?).ok()?;
        let log = std::fs::File::create(folder.join(format!("{}.log", machine.name))).ok()?;
        let child = Command::new(PROGRAM)
            .env("REEDSAIL_CONFIG", &settings)
            .stdin(Stdio::null())
            .stderr(log.try_clone().ok()?)
            .stdout(log)
            .spawn()
            .ok()?;
        note(&format!("{}: process {} started", machine.name, child.id()));
        Some(Self {
            machine: machine.clone(),
            child,
        })
    }

    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends SIGTERM.
    pub fn terminate(&self) {
        note(&format!("{}: SIGTERM", self.machine.name));
        let _ = Command::new("kill")
            .arg("-TERM")
            .arg(self.id().to_string())
            .status();
    }

    /// Sends SIGKILL.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
    }

    /// Returns the exit status once the process has ended.
    pub fn ended(&mut self) -> Option<std::process::ExitStatus> {
        self.child.try_wait().ok().flatten()
    }
}

impl Drop for Router {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Waits until all machines are ready. Returns whether that was within `limit_ms`.
pub fn wait_until_ready(machines: &[Machine], limit_ms: u64) -> bool {
    let until = Instant::now() + Duration::from_millis(limit_ms);
    while Instant::now() < until {
        if machines.iter().all(Machine::is_ready) {
            return true;
        }
        std::thread::sleep(Duration::from_millis(100));
    }
    false
}
