//! The closed list of error kinds, and the table from kind to answer.

/// Whether a refused or failed request ran on a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RanState {
    /// No byte of the request reached a backend server.
    NotRun,
    /// A backend server may have run it.
    Unknown,
    /// A backend server ran it.
    Ran,
}

impl RanState {
    /// Returns the value of the `reedsail-ran` answer header.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not_run",
            Self::Unknown => "unknown",
            Self::Ran => "ran",
        }
    }
}

macro_rules! error_kinds {
    ($($(#[$doc:meta])* $kind:ident = $name:literal, $status:literal, $ran:ident, $retry_ms:expr, $message:literal;)*) => {
        /// Every way in which a request can fail; `docs/ERRORS.md` shows the same table.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
        pub enum ErrorKind {
            $($(#[$doc])* $kind,)*
        }

        impl ErrorKind {
            /// Every kind, in the order of the table.
            pub const ALL: &'static [Self] = &[$(Self::$kind,)*];

            /// Returns the name that answers, metrics and events carry.
            pub fn name(self) -> &'static str {
                match self { $(Self::$kind => $name,)* }
            }

            /// Returns the HTTP status of the answer (RFC 9110).
            pub fn status(self) -> u16 {
                match self { $(Self::$kind => $status,)* }
            }

            /// Tells whether the request ran.
            pub fn ran(self) -> RanState {
                match self { $(Self::$kind => RanState::$ran,)* }
            }

            /// Returns after how many milliseconds a retry makes sense; `None` if it never does.
            pub fn retry_after_ms(self) -> Option<u64> {
                match self { $(Self::$kind => $retry_ms,)* }
            }

            /// Returns the sentence that tells the caller the culprit and the fix.
            pub fn message(self) -> &'static str {
                match self { $(Self::$kind => $message,)* }
            }
        }
    };
}

error_kinds! {
    /// The request carries no key, or one that no workspace has.
    UnknownKey = "unknown_key", 401, NotRun, None,
        "the bearer key belongs to no workspace; send a key of the bundle in force";
    /// No route of the bundle matches the path.
    UnknownRoute = "unknown_route", 404, NotRun, None,
        "no service has this path; use a path of the bundle in force";
    /// The route and the workspace name no region in common.
    NoAllowedRegion = "no_allowed_region", 403, NotRun, None,
        "the route and the workspace allow no region in common; correct their `allowed_regions`";
    /// No service serves the model.
    UnknownModel = "unknown_model", 404, NotRun, None,
        "no service has this model; name a model of the bundle in force";
    /// The method does not fit the route.
    MethodNotAllowed = "method_not_allowed", 405, NotRun, None,
        "this path takes POST only";
    /// The header section is larger than the settings allow.
    HeaderTooLarge = "header_too_large", 431, NotRun, None,
        "the request's headers are over the limit; send fewer or shorter headers";
    /// The body is larger than the settings allow.
    BodyTooLarge = "body_too_large", 413, NotRun, None,
        "the request's body is over the limit; send a smaller body";
    /// The body did not arrive whole.
    BodyIncomplete = "body_incomplete", 400, NotRun, None,
        "the request's body ended early; send the whole body";
    /// The body is not the JSON that the route wants.
    BadJson = "bad_json", 400, NotRun, None,
        "the body is not valid JSON with a `model` string; correct it";
    /// A header has a value that cannot be read.
    BadHeader = "bad_header", 400, NotRun, None,
        "a reedsail-* header has a value that cannot be read; see the callers' page";
    /// A call that may not be repeated carries no idempotency key.
    KeyRequired = "idempotency_key_required", 400, NotRun, None,
        "this call may not be repeated; send an `Idempotency-Key` header with a UUIDv7";
    /// The idempotency key carries no time.
    KeyMalformed = "idempotency_key_malformed", 400, NotRun, None,
        "the `Idempotency-Key` is no UUIDv7; make a new one for each action";
    /// The idempotency key is older than the log remembers.
    KeyExpired = "idempotency_key_expired", 409, NotRun, None,
        "the `Idempotency-Key` is too old to be checked; find out what became of the action";
    /// The idempotency key lies too far in the future.
    KeyFromFuture = "idempotency_key_from_future", 400, NotRun, None,
        "the `Idempotency-Key` has a time ahead of ours; set the caller's clock";
    /// The key is claimed and its call has no known end: it runs, or broke off.
    KeyInUse = "idempotency_key_in_use", 409, Unknown, Some(1_000),
        "a call with this `Idempotency-Key` was sent and its end is not known; find out what became of it";
    /// The call with this key ran to its end earlier.
    KeyAlreadyRan = "idempotency_key_already_ran", 409, Ran, None,
        "the call with this `Idempotency-Key` ran; its status is in `reedsail-first-status`";
    /// The log that holds claims cannot be reached, so a call that may not be repeated is refused.
    ClaimUnavailable = "claim_unavailable", 503, NotRun, Some(2_000),
        "the log for calls that may not be repeated is out of reach; retry later with the same key";
    /// The workspace's rate limit is used up.
    RateLimited = "rate_limited", 429, NotRun, Some(1_000),
        "the workspace's rate limit is used up; retry later";
    /// The workspace's queue is full by count.
    QueueFull = "queue_full", 429, NotRun, Some(2_000),
        "the workspace's queue is full; retry later";
    /// The workspace's queue is full by bytes.
    QueueBytesFull = "queue_bytes_full", 429, NotRun, Some(2_000),
        "the workspace's queued bodies are over the limit; retry later";
    /// The predicted wait passes the caller's deadline.
    WouldMissDeadline = "would_miss_deadline", 429, NotRun, Some(2_000),
        "the predicted wait passes the request's deadline; retry later or allow more time";
    /// The answer would begin later than the route's goal.
    WouldMissTarget = "would_miss_goal", 429, NotRun, Some(300),
        "the backend servers are busy and the answer would begin too late; come back when told";
    /// The workspace has had its share while others want more.
    OverShare = "over_share", 429, NotRun, Some(300),
        "the workspace has had its share of the backend servers while others wait; come back when told";
    /// Backend servers ended under this request again and again.
    Quarantined = "quarantined", 503, NotRun, None,
        "several backend servers ended while they ran this request, so it is not sent again; change the request, or report its fingerprint to the operators";
    /// The deadline passed while the request was queued.
    DeadlineInQueue = "deadline_in_queue", 503, NotRun, Some(1_000),
        "the deadline passed before a backend server was free; retry later or allow more time";
    /// The service has no backend server within reach.
    NoBackend = "no_backend", 503, NotRun, Some(2_000),
        "no backend server of the service could be reached; retry later";
    /// Every backend server that could take the request has asked for time.
    BackendsBackedOff = "backends_backed_off", 503, NotRun, Some(1_000),
        "every backend server that could take the request asked to be left alone for a while; come back when told";
    /// The daemon has no bundle in force yet.
    NotReady = "not_ready", 503, NotRun, Some(1_000),
        "this daemon has no bundle in force yet; retry on another";
    /// The daemon has as many requests open as its memory allows, or more to do than its processor.
    DaemonOverloaded = "daemon_overloaded", 503, NotRun, Some(500),
        "this daemon has more requests than its memory or processor can take; retry on another";
    /// The daemon is stopping.
    Stopping = "stopping", 503, NotRun, Some(500),
        "this daemon is stopping; retry on another";
    /// A backend server failed after bytes were sent.
    BackendFailed = "backend_failed", 502, Unknown, None,
        "the backend server failed after the request was sent; it may have run";
    /// A backend server's answer broke off.
    AnswerIncomplete = "answer_incomplete", 502, Unknown, None,
        "the backend server's answer broke off; the call may have run";
    /// A backend server answered another request.
    AnswerMismatched = "answer_mismatched", 502, Unknown, None,
        "the backend server answered another request; the call may have run";
    /// A backend server's answer is larger than the settings allow.
    AnswerTooLarge = "answer_too_large", 502, Ran, None,
        "the backend server's answer is over the limit; ask for less";
    /// The deadline passed after the request was sent.
    DeadlineAfterSend = "deadline_after_send", 504, Unknown, None,
        "the deadline passed before the backend server answered; the call may have run";
}
