//! Starts the stand-ins and the daemons of a setup, all inside this process.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use anyhow::Context as _;
use reedsail_bundle::BundleRecord;
use reedsail_bundle::KeyRole;
use reedsail_bundle::SecretKey;
use reedsail_bundle::SignedHead;
use reedsail_bundle::TrustedKey;
use reedsail_bundle::TrustedKeys;
use reedsail_daemon::ClaimSettings;
use reedsail_daemon::ControlSettings;
use reedsail_daemon::DaemonOptions;
use reedsail_daemon::LimitSettings;
use reedsail_daemon::ListenSettings;
use reedsail_daemon::PeerSeed;
use reedsail_daemon::PolicyChoice;
use reedsail_daemon::RunningDaemon;
use reedsail_daemon::Settings;
use reedsail_daemon::Stage;
use reedsail_daemon::TimelineSettings;
use reedsail_log_client::Instance;
use reedsail_log_client::InstanceKind;
use reedsail_log_client::InstanceState;
use reedsail_log_client::PlatformClient;
use reedsail_net::ByteCounter;
use reedsail_net::NetGate;
use reedsail_standin::EngineConfig;
use reedsail_standin::EngineStandin;
use reedsail_standin::PlainStandin;
use reedsail_standin::PlatformConfig;
use reedsail_standin::PlatformStandin;
use tokio::time::sleep;

use crate::FleetSetup;
use crate::setup::BundleChangePlan;
use crate::setup::ServerPlace;

/// How long a fleet may take to be ready.
const READY_LIMIT_MS: u64 = 20_000;
/// How often an append is tried.
const APPEND_TRIES_MAX: usize = 100;
/// The pause between two tries.
const APPEND_PAUSE_MS: u64 = 100;
/// The stream of bundle records.
const BUNDLE_STREAM: &str = "bundles";

/// A running fleet with its surroundings.
#[derive(Debug)]
pub struct Fleet {
    /// What it consists of; changes with each bundle published.
    pub setup: FleetSetup,
    /// Cuts between its parties.
    pub gate: NetGate,
    /// The platform.
    pub platform: PlatformStandin,
    /// The engines by name.
    pub engines: BTreeMap<String, EngineStandin>,
    /// The plain backend servers by name.
    pub plains: BTreeMap<String, PlainStandin>,
    /// The daemons by name; one that was killed is absent.
    pub daemons: BTreeMap<String, RunningDaemon>,
    /// Callers' addresses by daemon, kept when one is killed.
    pub callers: HashMap<String, SocketAddr>,
    /// Events of daemons that have ended.
    pub past_events: Vec<reedsail_events::Event>,
    servers: BTreeMap<String, Vec<ServerPlace>>,
    settings: BTreeMap<String, Settings>,
    text: String,
    version: u32,
}

/// The keys with which the bench signs; they guard nothing.
fn bench_keys() -> (SecretKey, SecretKey) {
    (SecretKey::from_bytes([1; 32]), SecretKey::from_bytes([2; 32]))
}

fn trusted_keys() -> TrustedKeys {
    let (author, approver) = bench_keys();
    TrustedKeys(vec![
        TrustedKey {
            name: "bench-author".to_owned(),
            role: KeyRole::Author,
            key: author.public(),
        },
        TrustedKey {
            name: "bench-approver".to_owned(),
            role: KeyRole::Approver,
            key: approver.public(),
        },
    ])
}

/// Appends a record, again and again until the log says that it has it; a second copy folds to
/// nothing.
async fn append_until_taken(client: &PlatformClient, record: &BundleRecord) -> anyhow::Result<()> {
    let mut last = None;
    for _ in 0..APPEND_TRIES_MAX {
        match client.append(BUNDLE_STREAM, record.to_bytes()).await {
            Ok(_) => return Ok(()),
            Err(error) => last = Some(error),
        }
        sleep(Duration::from_millis(APPEND_PAUSE_MS)).await;
    }
    Err(last.map_or_else(|| anyhow::anyhow!("nothing was tried"), Into::into))
}

impl Fleet {
    /// Starts everything, publishes the first bundle and waits until all daemons are ready.
    ///
    /// # Errors
    /// Names what could not be started.
    pub async fn start(
        setup: FleetSetup,
        policy: PolicyChoice,
        platform: PlatformConfig,
        tune: impl Fn(&mut Settings),
    ) -> anyhow::Result<Self> {
        let mut fleet = Self::prepare(setup, platform).await?;
        fleet.start_servers().await?;
        fleet.start_daemons(policy, &tune).await?;
        fleet.publish_next().await?;
        fleet.wait_until_ready().await?;
        Ok(fleet)
    }

    async fn prepare(setup: FleetSetup, platform: PlatformConfig) -> anyhow::Result<Self> {
        let platform = PlatformStandin::start(platform)
            .await
            .context("cannot start the platform")?;
        Ok(Self {
            gate: NetGate::default(),
            platform,
            engines: BTreeMap::new(),
            plains: BTreeMap::new(),
            daemons: BTreeMap::new(),
            callers: HashMap::new(),
            past_events: Vec::new(),
            servers: BTreeMap::new(),
            settings: BTreeMap::new(),
            text: String::new(),
            version: 0,
            setup,
        })
    }

    async fn start_servers(&mut self) -> anyhow::Result<()> {
        for service in self.setup.services.clone() {
            let mut places = Vec::new();
            for (domain, count) in &service.servers_by_domain {
                for number in 1..=*count {
                    let name = format!("{}-{domain}-{number}", service.name);
                    let address = if service.model.is_some() {
                        let config = EngineConfig {
                            slots: service.slots,
                            token_interval_ms: service.token_interval_ms,
                            ..EngineConfig::default()
                        };
                        let engine = EngineStandin::start(config).await?;
                        let address = engine.address();
                        self.engines.insert(name.clone(), engine);
                        address
                    } else {
                        let plain = PlainStandin::start().await?;
                        let address = plain.address();
                        self.plains.insert(name.clone(), plain);
                        address
                    };
                    self.gate.assign(&name, domain);
                    self.set_instance(&name, InstanceKind::Server, domain, address, InstanceState::Live);
                    places.push((name, domain.clone(), address));
                }
            }
            self.servers.insert(service.name.clone(), places);
        }
        Ok(())
    }

    async fn start_daemons(
        &mut self,
        policy: PolicyChoice,
        tune: &impl Fn(&mut Settings),
    ) -> anyhow::Result<()> {
        let free = SocketAddr::from(([127, 0, 0, 1], 0));
        for daemon in self.setup.daemons.clone() {
            let mut settings = Settings {
                instance: daemon.instance.clone(),
                failure_domain: daemon.failure_domain.clone(),
                listen: ListenSettings {
                    callers: free,
                    peers: free,
                    admin: free,
                },
                platform: self.platform.address(),
                trusted_keys: trusted_keys(),
                peers: Vec::new(),
                policy,
                traffic_threads: 1,
                limits: LimitSettings {
                    deadline_default_ms: 300_000,
                    stop_notice_ms: 200,
                    ..LimitSettings::default()
                },
                control: ControlSettings::default(),
                claims: ClaimSettings::default(),
                timeline: TimelineSettings {
                    kept_max: 200_000,
                    requests: true,
                },
            };
            tune(&mut settings);
            self.gate.assign(&daemon.instance, &daemon.failure_domain);
            self.settings.insert(daemon.instance.clone(), settings);
            self.start_daemon(&daemon.instance).await?;
        }
        Ok(())
    }

    /// Starts a daemon that does not run, on new ports and without any memory.
    ///
    /// # Errors
    /// The daemon is unknown or cannot be started.
    pub async fn start_daemon(&mut self, instance: &str) -> anyhow::Result<()> {
        let mut settings = self.settings.get(instance).context("no such daemon")?.clone();
        let running = self.daemons.values();
        settings.peers = running
            .map(|daemon| PeerSeed {
                instance: daemon.instance().to_owned(),
                failure_domain: self.settings[daemon.instance()].failure_domain.clone(),
                address: daemon.addresses().peers,
            })
            .collect();
        let domain = settings.failure_domain.clone();
        let options = DaemonOptions {
            gate: self.gate.clone(),
        };
        let daemon = RunningDaemon::start(settings, options).await?;
        let peers = daemon.addresses().peers;
        self.set_instance(
            instance,
            InstanceKind::Daemon,
            &domain,
            peers,
            InstanceState::Live,
        );
        self.callers
            .insert(instance.to_owned(), daemon.addresses().callers);
        self.daemons.insert(instance.to_owned(), daemon);
        Ok(())
    }

    /// Ends a daemon at once, as a crash would. The platform's list goes on naming it.
    pub fn kill_daemon(&mut self, instance: &str) {
        if let Some(daemon) = self.daemons.remove(instance) {
            self.past_events.extend(daemon.events());
            daemon.kill();
        }
    }

    /// Changes a row of the platform's instance list.
    pub fn set_instance(
        &self,
        name: &str,
        kind: InstanceKind,
        domain: &str,
        address: SocketAddr,
        state: InstanceState,
    ) {
        self.platform.set_instance(Instance {
            name: name.to_owned(),
            kind,
            failure_domain: domain.to_owned(),
            address,
            state,
        });
    }

    /// Marks a backend server as leaving in the platform's list.
    pub fn set_leaving(&self, server: &str) {
        let places = self.servers.values().flatten();
        for (name, domain, address) in places.filter(|(name, _, _)| name == server) {
            self.set_instance(
                name,
                InstanceKind::Server,
                domain,
                *address,
                InstanceState::Leaving,
            );
        }
    }

    /// Returns a client of the platform, as an operator's tool has one.
    pub fn platform_client(&self) -> PlatformClient {
        PlatformClient::new(
            self.platform.address(),
            "operator",
            2_000,
            ByteCounter::default(),
            self.gate.clone(),
        )
    }

    /// Returns the version last published from here.
    pub fn version(&self) -> u32 {
        self.version
    }

    /// Returns the text of the version last published from here.
    pub fn bundle_text(&self) -> &str {
        &self.text
    }

    /// Makes the signed proposal that turns the version last published into `text`.
    pub fn propose(&self, text: &str) -> BundleRecord {
        let (author, approver) = bench_keys();
        let base = (self.version > 0).then_some((self.version, self.text.as_str()));
        let mut head = SignedHead::sign(base, text, "bench-author", &author);
        head.approve("bench-approver", &approver);
        BundleRecord::propose(head, base.map(|(_, text)| text), text)
    }

    /// Publishes a change as the next version; returns once the log has it.
    ///
    /// # Errors
    /// The log does not take the record.
    pub async fn publish_change(&mut self, change: &BundleChangePlan) -> anyhow::Result<u32> {
        let mut workspaces = self.setup.workspaces.iter_mut();
        let found = workspaces.find(|plan| plan.name == change.workspace);
        found.context("no such workspace")?.weight = change.weight;
        self.publish_next().await
    }

    /// Has two operators publish different successors of the version in force. The first in the
    /// log wins; the second is what later versions must not be based on.
    ///
    /// # Errors
    /// The log does not take a record.
    pub async fn publish_rivals(&mut self) -> anyhow::Result<()> {
        let winner = self.setup.bundle_text(self.version + 1, &self.servers);
        let rival = format!("{winner}# a rival\n");
        let winner_record = self.propose(&winner);
        let rival_record = self.propose(&rival);
        let client = self.platform_client();
        append_until_taken(&client, &winner_record).await?;
        append_until_taken(&client, &rival_record).await?;
        self.version += 1;
        self.text = winner;
        Ok(())
    }

    async fn publish_next(&mut self) -> anyhow::Result<u32> {
        let text = self.setup.bundle_text(self.version + 1, &self.servers);
        self.publish_text(&text).await
    }

    /// Publishes a text as the next version; returns once the log has it.
    ///
    /// # Errors
    /// The log does not take the record.
    pub async fn publish_text(&mut self, text: &str) -> anyhow::Result<u32> {
        let record = self.propose(text);
        append_until_taken(&self.platform_client(), &record).await?;
        self.version += 1;
        text.clone_into(&mut self.text);
        Ok(self.version)
    }

    /// Waits until every running daemon takes requests.
    ///
    /// # Errors
    /// Names the daemons that are not ready after the limit.
    pub async fn wait_until_ready(&self) -> anyhow::Result<()> {
        let started = Instant::now();
        loop {
            let waiting: Vec<&str> = self
                .daemons
                .values()
                .filter(|daemon| daemon.stage() < Stage::Ready)
                .map(RunningDaemon::instance)
                .collect();
            if waiting.is_empty() {
                return Ok(());
            }
            if started.elapsed() > Duration::from_millis(READY_LIMIT_MS) {
                anyhow::bail!("not ready: {waiting:?}");
            }
            sleep(Duration::from_millis(5)).await;
        }
    }

    /// Returns every event of every daemon, those that ended included.
    pub fn events(&self) -> Vec<reedsail_events::Event> {
        let mut events = self.past_events.clone();
        for daemon in self.daemons.values() {
            events.extend(daemon.events());
        }
        reedsail_events::merge_events(events)
    }

    /// Stops every daemon as planned, then the stand-ins. Returns whether no request was cut.
    pub async fn close(self) -> bool {
        let mut finished = true;
        let closing: Vec<_> = self.daemons.into_values().map(RunningDaemon::close).collect();
        for daemon in closing {
            finished &= daemon.await;
        }
        for engine in self.engines.into_values() {
            engine.close();
        }
        for plain in self.plains.into_values() {
            plain.close();
        }
        self.platform.close();
        finished
    }
}
