//! What became of each workspace's tokens, by the events of routers, and how near each came to getting far less
//! than its share.
//!
//! Pure: relies on the caller for the events. Lines without tokens, from older releases, do not count.

use std::collections::BTreeMap;

use reedsail_events::Event;
use reedsail_events::EventKind;
use reedsail_fairness::ShareLedger;
use reedsail_fairness::ShareWindow;

use crate::event_fields::number;
use crate::event_fields::text;

/// Tokens of one workspace.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct WorkspaceTokens {
    pub(crate) requested: u64,
    pub(crate) sent: u64,
    pub(crate) begun: u64,
    pub(crate) refused: u64,
    /// Of those refused, as over its share.
    pub(crate) over_share: u64,
}

/// The tokens of all workspaces.
#[derive(Clone, Debug, Default)]
pub(crate) struct WorkspaceSummary {
    pub(crate) tokens: BTreeMap<String, WorkspaceTokens>,
    ledger: ShareLedger,
}

impl WorkspaceSummary {
    /// Sums events up.
    pub(crate) fn of(events: &[Event]) -> Self {
        let mut summary = Self::default();
        let first_ms = events.iter().map(|event| event.unix_ms).min().unwrap_or(0);
        for event in events {
            let Some(tokens) = number(event, "tokens") else {
                continue;
            };
            let at_ms = event.unix_ms - first_ms;
            if event.number == EventKind::RequestPlaced.number() {
                summary.of_workspace(event).sent += tokens;
            } else if event.number == EventKind::RequestEnded.number() {
                summary.take_end(event, tokens, at_ms);
            } else if event.number == EventKind::RequestRefused.number() {
                summary.take_refusal(event, tokens, at_ms);
            }
        }
        summary
    }

    /// Returns the worst window of each workspace, the worst of all first.
    pub(crate) fn worst_windows(&self) -> Vec<ShareWindow> {
        self.ledger.worst_windows()
    }

    /// Takes in a request that was sent: it was begun if its first event came, and its caller was disappointed
    /// if that came late or never.
    fn take_end(&mut self, event: &Event, tokens: u64, at_ms: u64) {
        let workspace = text(event, "workspace");
        let arrived_ms = at_ms.saturating_sub(number(event, "took_ms").unwrap_or(0));
        let first_event_ms = number(event, "first_part_ms");
        let target_ms = number(event, "target_ms").unwrap_or(u64::MAX);
        self.of_workspace(event).requested += tokens;
        self.ledger.record_request(&workspace, tokens as f64, arrived_ms);
        if let Some(first_event_ms) = first_event_ms {
            self.of_workspace(event).begun += tokens;
            let begun_ms = arrived_ms + first_event_ms;
            self.ledger.record_begun(&workspace, tokens as f64, begun_ms);
        }
        if first_event_ms.is_none_or(|first_event_ms| first_event_ms > target_ms) {
            self.ledger.record_refused_or_late(&workspace, arrived_ms);
        }
    }

    fn take_refusal(&mut self, event: &Event, tokens: u64, at_ms: u64) {
        let workspace = text(event, "workspace");
        let arrived_ms = at_ms.saturating_sub(number(event, "waited_ms").unwrap_or(0));
        let is_over_share = text(event, "kind") == "over_share";
        let counted = self.of_workspace(event);
        counted.requested += tokens;
        counted.refused += tokens;
        counted.over_share += if is_over_share { tokens } else { 0 };
        self.ledger.record_request(&workspace, tokens as f64, arrived_ms);
        self.ledger.record_refused_or_late(&workspace, at_ms);
    }

    fn of_workspace(&mut self, event: &Event) -> &mut WorkspaceTokens {
        self.tokens.entry(text(event, "workspace")).or_default()
    }
}
