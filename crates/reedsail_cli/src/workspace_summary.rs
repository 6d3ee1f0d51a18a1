//! Counts each workspace's tokens from router events, and finds the window in which it came nearest to
//! getting far less than its share.
//!
//! Does no I/O: the caller passes the events. Events without tokens, from older releases, are ignored.

use std::collections::BTreeMap;

use reedsail_events::Event;
use reedsail_events::EventKind;
use reedsail_fairness::ShareLedger;
use reedsail_fairness::ShareWindow;

use crate::event_fields::number;
use crate::event_fields::text;

/// Token counts of one workspace.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct WorkspaceTokens {
    pub(crate) requested: u64,
    pub(crate) sent: u64,
    pub(crate) begun: u64,
    pub(crate) refused: u64,
    /// The part of `refused` that was refused because the workspace was over its share.
    pub(crate) over_share: u64,
}

/// Token counts and share windows of all workspaces.
#[derive(Clone, Debug, Default)]
pub(crate) struct WorkspaceSummary {
    pub(crate) tokens: BTreeMap<String, WorkspaceTokens>,
    ledger: ShareLedger,
}

impl WorkspaceSummary {
    /// Builds the summary of the events.
    pub(crate) fn from_events(events: &[Event]) -> Self {
        let mut summary = Self::default();
        let first_ms = events.iter().map(|event| event.unix_ms).min().unwrap_or(0);
        for event in events {
            let Some(tokens) = number(event, "tokens") else {
                continue;
            };
            let at_ms = event.unix_ms - first_ms;
            if event.number == EventKind::RequestPlaced.number() {
                summary.workspace_entry(event).sent += tokens;
            } else if event.number == EventKind::RequestEnded.number() {
                summary.record_end(event, tokens, at_ms);
            } else if event.number == EventKind::RequestRefused.number() {
                summary.record_refusal(event, tokens, at_ms);
            }
        }
        summary
    }

    /// Returns the worst window of each workspace, sorted from worst to best.
    pub(crate) fn worst_windows(&self) -> Vec<ShareWindow> {
        self.ledger.worst_windows()
    }

    /// Records the end of a request that was sent. The request counts as begun if its first event arrived,
    /// and as refused or late if that event arrived after the target time or never.
    fn record_end(&mut self, event: &Event, tokens: u64, at_ms: u64) {
        let workspace = text(event, "workspace");
        let arrived_ms = at_ms.saturating_sub(number(event, "took_ms").unwrap_or(0));
        let first_event_ms = number(event, "first_part_ms");
        let target_ms = number(event, "target_ms").unwrap_or(u64::MAX);
        self.workspace_entry(event).requested += tokens;
        self.ledger.record_request(&workspace, tokens as f64, arrived_ms);
        if let Some(first_event_ms) = first_event_ms {
            self.workspace_entry(event).begun += tokens;
            let begun_ms = arrived_ms + first_event_ms;
            self.ledger.record_begun(&workspace, tokens as f64, begun_ms);
        }
        if first_event_ms.is_none_or(|first_event_ms| first_event_ms > target_ms) {
            self.ledger.record_refused_or_late(&workspace, arrived_ms);
        }
    }

    fn record_refusal(&mut self, event: &Event, tokens: u64, at_ms: u64) {
        let workspace = text(event, "workspace");
        let arrived_ms = at_ms.saturating_sub(number(event, "waited_ms").unwrap_or(0));
        let is_over_share = text(event, "kind") == "over_share";
        let tokens_entry = self.workspace_entry(event);
        tokens_entry.requested += tokens;
        tokens_entry.refused += tokens;
        tokens_entry.over_share += if is_over_share { tokens } else { 0 };
        self.ledger.record_request(&workspace, tokens as f64, arrived_ms);
        self.ledger.record_refused_or_late(&workspace, at_ms);
    }

    fn workspace_entry(&mut self, event: &Event) -> &mut WorkspaceTokens {
        self.tokens.entry(text(event, "workspace")).or_default()
    }
}
