//! Looks at the fleet at regular moments: who waits, what was served, how busy the engines are.

use std::collections::BTreeMap;
use std::collections::HashMap;

use crate::Fleet;

/// One look at one service.
#[derive(Clone, Debug)]
pub struct Sample {
    /// Milliseconds since the start.
    pub at_ms: f64,
    /// Tokens generated so far, by workspace.
    pub tokens: HashMap<String, u64>,
    /// Requests waiting at all daemons, by workspace.
    pub queued: BTreeMap<String, u32>,
    /// Busy slot time so far, in milliseconds.
    pub busy_slot_ms: f64,
    /// Slots of all engines that are not leaving.
    pub slots: u32,
    /// Control bytes so far, by daemon.
    pub control_bytes: BTreeMap<String, u64>,
}

impl Sample {
    /// Looks at a model service.
    pub fn take(fleet: &Fleet, service: &str, at_ms: f64) -> Self {
        let mut tokens: HashMap<String, u64> = HashMap::new();
        let mut busy_slot_ms = 0.0;
        let prefix = format!("{service}-");
        let engines = fleet.engines.iter().filter(|(name, _)| name.starts_with(&prefix));
        for (_, engine) in engines {
            for (workspace, count) in engine.tokens_by_workspace() {
                *tokens.entry(workspace).or_default() += count;
            }
            busy_slot_ms += engine.load().2;
        }
        let mut queued = BTreeMap::new();
        for plan in &fleet.setup.workspaces {
            let daemons = fleet.daemons.values();
            let waiting: u32 = daemons.map(|daemon| daemon.queued(service, &plan.name)).sum();
            queued.insert(plan.name.clone(), waiting);
        }
        let described = fleet.setup.services.iter().find(|setup| setup.name == service);
        let slots = described.map_or(0, |setup| {
            setup.slots * setup.servers_by_domain.values().sum::<u32>()
        });
        let control_bytes = fleet
            .daemons
            .values()
            .map(|daemon| (daemon.instance().to_owned(), daemon.control_bytes().1))
            .collect();
        Self {
            at_ms,
            tokens,
            queued,
            busy_slot_ms,
            slots,
            control_bytes,
        }
    }

    /// Tells whether any work waits at any daemon.
    pub fn any_waits(&self) -> bool {
        self.queued.values().any(|count| *count > 0)
    }

    /// Returns what a workspace was served so far.
    pub fn tokens_of(&self, workspace: &str) -> f64 {
        self.tokens.get(workspace).copied().unwrap_or(0) as f64
    }
}
