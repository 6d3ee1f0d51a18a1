//! The scheduled events of a fleet whose servers crash.

use reedsail_core::NameHash;
use reedsail_dispatch::LoadReport;

use crate::crash_requests::Request;

/// A scheduled event.
#[derive(Debug)]
pub(crate) enum Event {
    Arrival,
    PoisonArrival {
        poison: usize,
    },
    Retry(Request),
    /// The server begins to write the answer.
    RunBegins {
        run: u64,
    },
    /// The server goes on writing the answer.
    RunGoesOn {
        run: u64,
    },
    RunEnds {
        run: u64,
    },
    MassCrash {
        fraction: f64,
    },
    ServerRestarts {
        server: usize,
    },
    RecordExpires {
        name: NameHash,
    },
    InstanceRestarts {
        instance: usize,
    },
    /// An instance reads the quarantined suspects from the store.
    StoreRead {
        instance: usize,
    },
    /// The instances write to the store what it should hold.
    StoreWrites,
    Report,
    ReportArrives {
        from: usize,
        to: usize,
        report: Box<LoadReport>,
    },
    Tick,
}
