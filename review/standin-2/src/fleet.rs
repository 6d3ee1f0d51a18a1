//! The router's processes, the platform's store, and the record of a case.

use std::fs::File;
use std::io::Write;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use reedsail_platform_standin::StoreStandin;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::http::Connection;

/// How long a start may take.
const START_LIMIT: Duration = Duration::from_secs(15);

/// The record of what was sent, answered and run.
#[derive(Clone, Debug)]
pub struct Record {
    file: Arc<Mutex<File>>,
    began: Instant,
}

impl Record {
    /// Begins the record in the file that `RECORD` names.
    pub fn begin() -> Self {
        let path = std::env::var("RECORD").unwrap_or_else(|_| "record.txt".to_owned());
        let file = File::create(path).expect("the record can be written");
        Self {
            file: Arc::new(Mutex::new(file)),
            began: Instant::now(),
        }
    }

    /// Returns the milliseconds since the case began.
    pub fn now_ms(&self) -> u64 {
        self.began.elapsed().as_millis() as u64
    }

    /// Adds a line.
    pub fn line(&self, text: &str) {
        let mut file = self.file.lock().unwrap();
        writeln!(file, "{:>7} ms  {text}", self.now_ms()).expect("the record can be written");
    }
}

/// Returns whether the disruption takes place.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").as_deref() != Ok("0")
}

/// One router: its process, and addresses of its own on the loopback network.
#[derive(Debug)]
pub struct Router {
    pub name: String,
    pub address: Ipv4Addr,
    folder: PathBuf,
    program: PathBuf,
    child: Option<Child>,
}

/// Returns the addresses of the routers of a case.
pub fn addresses(count: u8) -> Vec<Ipv4Addr> {
    let process = std::process::id();
    let of = |number| Ipv4Addr::new(127, 64 + (process >> 8) as u8 % 64, process as u8, number);
    (1..=count).map(of).collect()
}

impl Router {
    /// Writes the settings of a router, which are those of the deploy file's template. On loopback addresses, seeds have
    /// the port for peers.
    pub fn new(number: usize, addresses: &[Ipv4Addr], zones: &[&str], store: SocketAddr) -> Self {
        let folder = PathBuf::from(std::env::var("WORK").expect("WORK names a temporary folder"));
        let program = PathBuf::from(std::env::var("ROUTER").expect("ROUTER names the program"));
        let address = addresses[number];
        let zone = zones[number % zones.len()];
        let name = format!("front-{zone}-{number}");
        let seeds: Vec<String> = addresses
            .iter()
            .take(3)
            .map(|seed| format!("\"{seed}:7400\""))
            .collect();
        let regions: Vec<String> = zones
            .iter()
            .map(|zone| format!("\"{zone}\": \"region\""))
            .collect();
        let settings = format!(
            "instance: \"{name}\"\nfailure_domain: \"{zone}\"\nregions: {{ {} }}\nlisten:\n  callers: \"{address}:8783\"\n  \
             readiness: \"{address}:8780\"\n  admin: \"{address}:7401\"\n  peers: \"{address}:7400\"\n\
             readiness_path: \"/api/readiness\"\nstore: \"{store}\"\nseeds: [{}]\nmemory_mb: 260\n\
             processor_share: 0.25\nstop:\n  accept_ms: 3000\n  end_ms: 7700\ndispatch:\n  repeat_ratio: 0.2\n  \
             repeat_window_ms: 10000\n  repeat_slack: 58\n  share_window_ms: 4000\n",
            regions.join(", "),
            seeds.join(", "),
        );
        std::fs::write(folder.join(format!("{name}.yaml")), settings).expect("settings can be written");
        Self {
            name,
            address,
            folder,
            program,
            child: None,
        }
    }

    pub fn callers(&self) -> SocketAddr {
        SocketAddr::from((self.address, 8783))
    }

    /// Starts the process as the deploy file does: the settings file stands in `REEDSAIL_CONFIG`.
    pub fn start(&mut self) {
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("{}.log", self.name)))
            .expect("the log can be written");
        let child = Command::new(&self.program)
            .env("REEDSAIL_CONFIG", self.folder.join(format!("{}.yaml", self.name)))
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("the log can be shared"))
            .stderr(log)
            .spawn();
        let child = child.expect("the router starts");
        // The script that runs the case ends what is left, by these ids.
        let ids = File::options()
            .create(true)
            .append(true)
            .open(self.folder.join("ids"));
        let _ = ids.and_then(|mut ids| writeln!(ids, "{}", child.id()));
        self.child = Some(child);
    }

    /// Sends a signal, by its name, to the process.
    pub fn signal(&self, name: &str) {
        if let Some(child) = &self.child {
            let command = format!("kill -{name} {}", child.id());
            let _ = Command::new("sh").arg("-c").arg(command).status();
        }
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Starts the process again if it has ended by itself or after a signal. Returns whether it had.
    pub fn restart_if_ended(&mut self) -> bool {
        let ended = self
            .child
            .as_mut()
            .is_some_and(|child| matches!(child.try_wait(), Ok(Some(_))));
        if ended {
            self.start();
        }
        ended
    }

    /// Asks a page of the router's platform or admin interface. Returns the status and the body.
    pub async fn page(&self, port: u16, path: &str) -> Option<(u16, String)> {
        let ask = async {
            let stream = TcpStream::connect((self.address, port)).await.ok()?;
            let mut connection = Connection::new(stream);
            let request = format!("GET {path} HTTP/1.1\r\nHost: router\r\n\r\n");
            connection.stream.write_all(request.as_bytes()).await.ok()?;
            let head = connection.read_head().await.ok()??;
            let body = connection.read_body(&head).await.ok()?;
            Some((head.status(), String::from_utf8_lossy(&body).into_owned()))
        };
        timeout(Duration::from_secs(1), ask).await.ok()?
    }

    /// Waits until the router is ready.
    pub async fn wait_ready(&self) -> bool {
        let began = Instant::now();
        while began.elapsed() < START_LIMIT {
            if matches!(self.page(8780, "/api/readiness").await, Some((200, _))) {
                return true;
            }
            sleep(Duration::from_millis(50)).await;
        }
        false
    }
}

impl Drop for Router {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Writes the operators' configuration.
pub fn configure(store: &StoreStandin, configuration: &serde_json::Value) {
    store.put("keyed.op", "config", &configuration.to_string());
}

/// Announces an engine.
pub fn announce(
    store: &StoreStandin,
    id: &str,
    service: &str,
    address: SocketAddr,
    zone: &str,
    state: &str,
    slots: u32,
) {
    let record = serde_json::json!({
        "service": service, "address": address, "zone": zone, "version": "1", "slots": slots,
        "state": state, "coldLeftMs": 0, "callSeq": 1,
    });
    store.put("keyed.servers", id, &record.to_string());
}
