//! Reads the daemon's settings from YAML and reports all faults together.

use reedsail_bundle::KeyRole;
use reedsail_bundle::PublicKey;
use reedsail_bundle::TrustedKey;
use reedsail_bundle::TrustedKeys;
use reedsail_document::Fault;
use reedsail_document::Mapping;
use reedsail_document::Value;
use reedsail_document::read_document;

use crate::ClaimSettings;
use crate::ControlSettings;
use crate::LimitSettings;
use crate::ListenSettings;
use crate::PeerSeed;
use crate::PolicyChoice;
use crate::Settings;
use crate::TimelineSettings;

/// The maximum number of traffic threads.
const TRAFFIC_THREADS_MAX: usize = 256;
/// The longest duration that a setting accepts, in milliseconds: one day.
const DURATION_MAX_MS: u64 = 86_400_000;

impl Settings {
    /// Reads and checks settings.
    ///
    /// # Errors
    /// Returns every fault, each with its line, key, value and the allowed values.
    pub fn read(text: &str) -> Result<Self, Vec<Fault>> {
        read_document(text, |top| {
            let instance = top.required("instance").and_then(|value| value.name());
            let failure_domain = top.required("failure_domain").and_then(|value| value.name());
            let listen = top.required("listen").and_then(|value| read_listen(&value));
            let platform = top.required("platform").and_then(|value| value.socket_address());
            let trusted_keys = top.required("trusted_keys").map(|value| read_keys(&value));
            let peers = top.optional("peers").map(|value| read_peers(&value));
            let policy = read_policy(top);
            let threads = top.optional("traffic_threads");
            let threads = threads.map_or(Some(2), |value| value.number(1..=TRAFFIC_THREADS_MAX));
            let limits = top.optional("limits");
            let limits = limits.map_or(Some(LimitSettings::default()), |value| read_limits(&value));
            let control = top.optional("control");
            let control = control.map_or(Some(ControlSettings::default()), |value| read_control(&value));
            let claims = top.optional("claims");
            let claims = claims.map_or(Some(ClaimSettings::default()), |value| read_claims(&value));
            let timeline = top.optional("timeline");
            let timeline = timeline.map_or(Some(TimelineSettings::default()), |value| read_timeline(&value));
            Some(Self {
                instance: instance?,
                failure_domain: failure_domain?,
                listen: listen?,
                platform: platform?,
                trusted_keys: trusted_keys?,
                peers: peers.unwrap_or_default(),
                policy: policy?,
                traffic_threads: threads?,
                limits: limits?,
                control: control?,
                claims: claims?,
                timeline: timeline?,
            })
        })
    }
}

fn read_policy(top: &mut Mapping<'_>) -> Option<PolicyChoice> {
    const POLICIES: &[(&str, PolicyChoice)] = &[
        ("fleet", PolicyChoice::Fleet),
        ("fifo", PolicyChoice::Fifo),
        // The number of daemons is read from `split_daemons` below.
        ("split", PolicyChoice::Split { daemons: 0 }),
    ];
    let daemons = top
        .optional("split_daemons")
        .map(|value| value.number(1..=10_000));
    let Some(value) = top.optional("policy") else {
        return Some(PolicyChoice::Fleet);
    };
    match (value.choice(POLICIES)?, daemons) {
        (PolicyChoice::Split { .. }, Some(daemons)) => daemons.map(|daemons| PolicyChoice::Split { daemons }),
        (PolicyChoice::Split { .. }, None) => {
            value.fault("policy `split` needs `split_daemons`, the number of daemons");
            None
        }
        (choice, _) => Some(choice),
    }
}

fn read_listen(value: &Value<'_>) -> Option<ListenSettings> {
    let mut mapping = value.mapping()?;
    let callers = mapping
        .required("callers")
        .and_then(|value| value.socket_address());
    let peers = mapping.required("peers").and_then(|value| value.socket_address());
    let admin = mapping.required("admin").and_then(|value| value.socket_address());
    mapping.close();
    Some(ListenSettings {
        callers: callers?,
        peers: peers?,
        admin: admin?,
    })
}

fn read_keys(list: &Value<'_>) -> TrustedKeys {
    const ROLES: &[(&str, KeyRole)] = &[("author", KeyRole::Author), ("approver", KeyRole::Approver)];
    let mut keys: Vec<TrustedKey> = Vec::new();
    for value in list.list() {
        let Some(mut mapping) = value.mapping() else {
            continue;
        };
        let name = mapping.required("name").and_then(|value| value.name());
        let role = mapping.required("role").and_then(|value| value.choice(ROLES));
        let key = mapping.required("key").and_then(|value| value.hex::<32>());
        mapping.close();
        let (Some(name), Some(role), Some(key)) = (name, role, key) else {
            continue;
        };
        if keys
            .iter()
            .any(|earlier| earlier.name == name && earlier.role == role)
        {
            value.fault(format!(
                "`{name}` already has a key with this role; remove one of them"
            ));
        }
        keys.push(TrustedKey {
            name,
            role,
            key: PublicKey(key),
        });
    }
    for role in [KeyRole::Author, KeyRole::Approver] {
        if !keys.iter().any(|key| key.role == role) {
            list.fault(format!("must hold at least one key with role {role:?}").to_lowercase());
        }
    }
    TrustedKeys(keys)
}

fn read_peers(list: &Value<'_>) -> Vec<PeerSeed> {
    let mut peers = Vec::new();
    for value in list.list() {
        let Some(mut mapping) = value.mapping() else {
            continue;
        };
        let instance = mapping.required("instance").and_then(|value| value.name());
        let failure_domain = mapping.required("failure_domain").and_then(|value| value.name());
        let address = mapping
            .required("address")
            .and_then(|value| value.socket_address());
        mapping.close();
        if let (Some(instance), Some(failure_domain), Some(address)) = (instance, failure_domain, address) {
            peers.push(PeerSeed {
                instance,
                failure_domain,
                address,
            });
        }
    }
    peers
}

/// Reads an optional number. Returns `default` if the key is missing, and `None` if its value is invalid.
fn number_or<N>(
    mapping: &mut Mapping<'_>,
    key: &'static str,
    range: std::ops::RangeInclusive<N>,
    default: N,
) -> Option<N>
where
    N: std::str::FromStr + PartialOrd + std::fmt::Display,
{
    match mapping.optional(key) {
        Some(value) => value.number(range),
        None => Some(default),
    }
}

fn read_limits(value: &Value<'_>) -> Option<LimitSettings> {
    let mut mapping = value.mapping()?;
    let defaults = LimitSettings::default();
    let map = &mut mapping;
    let header_max = number_or(
        map,
        "header_bytes_max",
        8_192..=1 << 20,
        defaults.header_bytes_max,
    );
    let body_max = number_or(map, "body_bytes_max", 1..=1 << 30, defaults.body_bytes_max);
    let answer_max = number_or(map, "answer_bytes_max", 1..=1 << 30, defaults.answer_bytes_max);
    let deadline_default = number_or(
        map,
        "deadline_default_ms",
        1..=DURATION_MAX_MS,
        defaults.deadline_default_ms,
    );
    let deadline_max = number_or(
        map,
        "deadline_max_ms",
        1..=DURATION_MAX_MS,
        defaults.deadline_max_ms,
    );
    let stall_max = number_or(map, "stall_max_ms", 1..=DURATION_MAX_MS, defaults.stall_max_ms);
    let stop_notice = number_or(
        map,
        "stop_notice_ms",
        0..=DURATION_MAX_MS,
        defaults.stop_notice_ms,
    );
    let stop_max = number_or(map, "stop_max_ms", 0..=DURATION_MAX_MS, defaults.stop_max_ms);
    mapping.close();
    Some(LimitSettings {
        header_bytes_max: header_max?,
        body_bytes_max: body_max?,
        answer_bytes_max: answer_max?,
        deadline_default_ms: deadline_default?,
        deadline_max_ms: deadline_max?,
        stall_max_ms: stall_max?,
        stop_notice_ms: stop_notice?,
        stop_max_ms: stop_max?,
    })
}

fn read_control(value: &Value<'_>) -> Option<ControlSettings> {
    let mut mapping = value.mapping()?;
    let defaults = ControlSettings::default();
    let map = &mut mapping;
    let budget = number_or(
        map,
        "budget_bytes_per_s",
        100..=1 << 30,
        defaults.budget_bytes_per_s,
    );
    let lease = number_or(map, "lease_ms", 500..=DURATION_MAX_MS, defaults.lease_ms);
    let horizon = number_or(map, "horizon_ms", 100..=DURATION_MAX_MS, defaults.horizon_ms);
    let rejoin_clamp = number_or(
        map,
        "rejoin_clamp_ms",
        0..=DURATION_MAX_MS,
        defaults.rejoin_clamp_ms,
    );
    let call_limit = number_or(map, "call_limit_ms", 10..=60_000, defaults.call_limit_ms);
    let checkpoint = number_or(
        map,
        "checkpoint_every_ms",
        500..=DURATION_MAX_MS,
        defaults.checkpoint_every_ms,
    );
    mapping.close();
    Some(ControlSettings {
        budget_bytes_per_s: budget?,
        lease_ms: lease?,
        horizon_ms: horizon?,
        rejoin_clamp_ms: rejoin_clamp?,
        call_limit_ms: call_limit?,
        checkpoint_every_ms: checkpoint?,
    })
}

fn read_claims(value: &Value<'_>) -> Option<ClaimSettings> {
    let mut mapping = value.mapping()?;
    let defaults = ClaimSettings::default();
    let shards = number_or(&mut mapping, "shards", 1..=1_024, defaults.shards);
    let window = number_or(
        &mut mapping,
        "batch_window_ms",
        1..=10_000,
        defaults.batch_window_ms,
    );
    let retention = number_or(
        &mut mapping,
        "retention_ms",
        1_000..=DURATION_MAX_MS,
        defaults.retention_ms,
    );
    mapping.close();
    Some(ClaimSettings {
        shards: shards?,
        batch_window_ms: window?,
        retention_ms: retention?,
    })
}

fn read_timeline(value: &Value<'_>) -> Option<TimelineSettings> {
    let mut mapping = value.mapping()?;
    let defaults = TimelineSettings::default();
    let kept = number_or(&mut mapping, "kept_max", 0..=10_000_000, defaults.kept_max);
    let requests = match mapping.optional("requests") {
        Some(value) => value.flag(),
        None => Some(defaults.requests),
    };
    mapping.close();
    Some(TimelineSettings {
        kept_max: kept?,
        requests: requests?,
    })
}
