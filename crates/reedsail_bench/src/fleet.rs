//! Starts the stand-ins and the instances of a setup in this process.

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
use crate::setup::ServerAddress;

/// The timeout for all instances to be ready.
const READY_TIMEOUT_MS: u64 = 20_000;
/// The maximum number of attempts to append a record.
const APPEND_ATTEMPTS_MAX: usize = 100;
/// The delay between two attempts.
const APPEND_RETRY_DELAY_MS: u64 = 100;
/// The log stream of bundle records.
const BUNDLE_STREAM: &str = "bundles";

/// A running fleet with its platform and backend servers.
#[derive(Debug)]
pub struct Fleet {
    /// The setup; each published change updates it.
    pub setup: FleetSetup,
    /// Cuts network connections between parties.
    pub gate: NetGate,
    /// The platform.
    pub platform: PlatformStandin,
    /// The engines, by name.
    pub engines: BTreeMap<String, EngineStandin>,
    /// The plain backend servers, by name.
    pub plains: BTreeMap<String, PlainStandin>,
    /// The running instances, by name.
    pub daemons: BTreeMap<String, RunningDaemon>,
    /// The listen address for callers, by instance; kept after an instance is killed.
    pub callers: HashMap<String, SocketAddr>,
    /// Events of killed instances.
    pub past_events: Vec<reedsail_events::Event>,
    servers: BTreeMap<String, Vec<ServerAddress>>,
    settings: BTreeMap<String, Settings>,
    published_text: String,
    version: u32,
}

/// Returns the fixed signing keys of author and approver. They protect nothing.
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

/// Appends a record and retries until the log acknowledges it. A duplicate record has no effect.
async fn append_with_retries(client: &PlatformClient, record: &BundleRecord) -> anyhow::Result<()> {
    let mut last_error = None;
    for _ in 0..APPEND_ATTEMPTS_MAX {
        match client.append(BUNDLE_STREAM, record.to_bytes()).await {
            Ok(_) => return Ok(()),
            Err(error) => last_error = Some(error),
        }
        sleep(Duration::from_millis(APPEND_RETRY_DELAY_MS)).await;
    }
    Err(last_error.map_or_else(|| anyhow::anyhow!("no append was attempted"), Into::into))
}

impl Fleet {
    /// Starts the stand-ins and the instances, publishes the first bundle and waits until all instances
    /// are ready.
    ///
    /// # Errors
    /// A stand-in or an instance cannot be started, the bundle cannot be published, or an instance is
    /// not ready within the timeout.
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
            .context("cannot start the platform stand-in")?;
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
            published_text: String::new(),
            version: 0,
            setup,
        })
    }

    async fn start_servers(&mut self) -> anyhow::Result<()> {
        for service in self.setup.services.clone() {
            let mut addresses = Vec::new();
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
                    addresses.push((name, domain.clone(), address));
                }
            }
            self.servers.insert(service.name.clone(), addresses);
        }
        Ok(())
    }

    async fn start_daemons(
        &mut self,
        policy: PolicyChoice,
        tune: &impl Fn(&mut Settings),
    ) -> anyhow::Result<()> {
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        for daemon in self.setup.daemons.clone() {
            let mut settings = Settings {
                instance: daemon.instance.clone(),
                failure_domain: daemon.failure_domain.clone(),
                listen: ListenSettings {
                    callers: any_port,
                    peers: any_port,
                    admin: any_port,
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

    /// Starts a stopped instance on new ports and without state.
    ///
    /// # Errors
    /// The instance is unknown or cannot be started.
    pub async fn start_daemon(&mut self, instance: &str) -> anyhow::Result<()> {
        let mut settings = self
            .settings
            .get(instance)
            .context("unknown instance; check the fleet's setup")?
            .clone();
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

    /// Kills an instance, as a crash does. The platform's instance list still contains it.
    pub fn kill_daemon(&mut self, instance: &str) {
        if let Some(daemon) = self.daemons.remove(instance) {
            self.past_events.extend(daemon.events());
            daemon.kill();
        }
    }

    /// Adds or replaces a row of the platform's instance list.
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

    /// Marks a backend server as leaving in the platform's instance list.
    pub fn set_leaving(&self, server: &str) {
        let addresses = self.servers.values().flatten();
        for (name, domain, address) in addresses.filter(|(name, _, _)| name == server) {
            self.set_instance(
                name,
                InstanceKind::Server,
                domain,
                *address,
                InstanceState::Leaving,
            );
        }
    }

    /// Returns a platform client with the identity of an operator.
    pub fn platform_client(&self) -> PlatformClient {
        PlatformClient::new(
            self.platform.address(),
            "operator",
            2_000,
            ByteCounter::default(),
            self.gate.clone(),
        )
    }

    /// Returns the last version that this fleet published.
    pub fn version(&self) -> u32 {
        self.version
    }

    /// Returns the text of the last version that this fleet published.
    pub fn bundle_text(&self) -> &str {
        &self.published_text
    }

    /// Returns the signed proposal of `text` as the successor of the last published version.
    pub fn propose(&self, text: &str) -> BundleRecord {
        let (author, approver) = bench_keys();
        let base = (self.version > 0).then_some((self.version, self.published_text.as_str()));
        let mut head = SignedHead::sign(base, text, "bench-author", &author);
        head.approve("bench-approver", &approver);
        BundleRecord::propose(head, base.map(|(_, text)| text), text)
    }

    /// Publishes a change as the next version. Returns after the log acknowledges it.
    ///
    /// # Errors
    /// The workspace is unknown, or the log does not acknowledge the record.
    pub async fn publish_change(&mut self, change: &BundleChangePlan) -> anyhow::Result<u32> {
        let mut workspaces = self.setup.workspaces.iter_mut();
        let found = workspaces.find(|plan| plan.name == change.workspace);
        found.context("unknown workspace; check the trace")?.weight = change.weight;
        self.publish_next().await
    }

    /// Publishes two different successors of the version in force, as two operators do. The first in
    /// the log wins; later versions must not be based on the second.
    ///
    /// # Errors
    /// The log does not acknowledge a record.
    pub async fn publish_rivals(&mut self) -> anyhow::Result<()> {
        let winner = self.setup.bundle_text(self.version + 1, &self.servers);
        let conflicting = format!("{winner}# a rival\n");
        let winner_record = self.propose(&winner);
        let conflicting_record = self.propose(&conflicting);
        let client = self.platform_client();
        append_with_retries(&client, &winner_record).await?;
        append_with_retries(&client, &conflicting_record).await?;
        self.version += 1;
        self.published_text = winner;
        Ok(())
    }

    async fn publish_next(&mut self) -> anyhow::Result<u32> {
        let text = self.setup.bundle_text(self.version + 1, &self.servers);
        self.publish_text(&text).await
    }

    /// Publishes a text as the next version. Returns after the log acknowledges it.
    ///
    /// # Errors
    /// The log does not acknowledge the record.
    pub async fn publish_text(&mut self, text: &str) -> anyhow::Result<u32> {
        let record = self.propose(text);
        append_with_retries(&self.platform_client(), &record).await?;
        self.version += 1;
        text.clone_into(&mut self.published_text);
        Ok(self.version)
    }

    /// Waits until every running instance is ready.
    ///
    /// # Errors
    /// Names the instances that are not ready within the timeout.
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
            if started.elapsed() > Duration::from_millis(READY_TIMEOUT_MS) {
                anyhow::bail!("instances not ready within the timeout: {waiting:?}");
            }
            sleep(Duration::from_millis(5)).await;
        }
    }

    /// Returns the events of all instances, including killed ones.
    pub fn events(&self) -> Vec<reedsail_events::Event> {
        let mut events = self.past_events.clone();
        for daemon in self.daemons.values() {
            events.extend(daemon.events());
        }
        reedsail_events::merge_events(events)
    }

    /// Gives every instance a planned stop, then stops the stand-ins. Returns whether no request was
    /// cut off.
    pub async fn close(self) -> bool {
        let mut is_uncut = true;
        let closing: Vec<_> = self.daemons.into_values().map(RunningDaemon::close).collect();
        for daemon in closing {
            is_uncut &= daemon.await;
        }
        for engine in self.engines.into_values() {
            engine.close();
        }
        for plain in self.plains.into_values() {
            plain.close();
        }
        self.platform.close();
        is_uncut
    }
}
