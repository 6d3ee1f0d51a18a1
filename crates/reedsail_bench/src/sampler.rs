//! Samples the fleet at regular intervals: queued requests, generated tokens and engine utilisation.

use std::collections::BTreeMap;
use std::collections::HashMap;

use crate::Fleet;

/// The state of one service at one time.
#[derive(Clone, Debug)]
pub struct Sample {
    /// Milliseconds since the start of the replay.
    pub at_ms: f64,
    /// Tokens generated so far, by workspace.
    pub tokens: HashMap<String, u64>,
    /// Requests queued at all instances, by workspace.
    pub queued: BTreeMap<String, u32>,
    /// Busy slot time so far, in milliseconds.
    pub busy_slot_ms: f64,
    /// Slots of all engines in the fleet's setup.
    pub slots: u32,
    /// Control bytes so far, by instance.
    pub control_bytes: BTreeMap<String, u64>,
}

impl Sample {
    /// Samples a model service.
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
            let queued_total: u32 = daemons.map(|daemon| daemon.queued(service, &plan.name)).sum();
            queued.insert(plan.name.clone(), queued_total);
        }
        let service_setup = fleet.setup.services.iter().find(|setup| setup.name == service);
        let slots = service_setup.map_or(0, |setup| {
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

    /// Returns whether any instance has a queued request.
    pub fn has_queued_requests(&self) -> bool {
        self.queued.values().any(|count| *count > 0)
    }

    /// Returns the number of tokens generated for a workspace so far.
    pub fn tokens_of(&self, workspace: &str) -> f64 {
        self.tokens.get(workspace).copied().unwrap_or(0) as f64
    }
}
