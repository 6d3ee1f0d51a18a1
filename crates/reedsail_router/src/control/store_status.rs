//! Tracks the store topics whose last read failed, and logs when a topic is lost and when it is back.

use reedsail_dispatch::StoreTopic;
use reedsail_events::EventKind;

use crate::shared::Shared;

/// The topics whose last read failed.
#[derive(Debug, Default)]
pub(crate) struct StoreStatus {
    lost: Vec<StoreTopic>,
}

impl StoreStatus {
    /// Records the end of a read; `fault` describes the failure if the read failed.
    pub(crate) fn record_read<H>(&mut self, shared: &Shared<H>, topic: StoreTopic, fault: Option<String>) {
        let outcome = if fault.is_some() { "failed" } else { "read" };
        let labels = [topic.name(), outcome];
        shared.metrics.store.reads.with_label_values(&labels).inc();
        let was_lost = self.lost.contains(&topic);
        match fault {
            Some(fault) if !was_lost => {
                self.lost.push(topic);
                let fields = [("source", topic.name().to_owned()), ("fault", fault)];
                shared.emit(EventKind::SourceLost, &fields);
            }
            None if was_lost => {
                self.lost.retain(|lost| *lost != topic);
                let fields = [("source", topic.name().to_owned())];
                shared.emit(EventKind::SourceBack, &fields);
            }
            Some(_) | None => {}
        }
    }
}
