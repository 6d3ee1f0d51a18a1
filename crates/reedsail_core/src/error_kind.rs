//! The closed list of error kinds, and the answer that each kind leads to.

/// Whether a refused or failed request ran on a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RanState {
    /// No byte of the request reached a backend server.
    NotRun,
    /// A backend server may have run the request.
    Unknown,
    /// A backend server ran the request.
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
        /// A way in which a request can fail; `docs/ERRORS.md` shows the same table.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
        pub enum ErrorKind {
            $($(#[$doc])* $kind,)*
        }

        impl ErrorKind {
            /// All kinds, in the order of the table.
            pub const ALL: &'static [Self] = &[$(Self::$kind,)*];

            /// Returns the name of the kind in answers, metrics and events.
            pub fn name(self) -> &'static str {
                match self { $(Self::$kind => $name,)* }
            }

            /// Returns the HTTP status code of the answer (RFC 9110).
            pub fn status(self) -> u16 {
                match self { $(Self::$kind => $status,)* }
            }

            /// Returns whether the request ran.
            pub fn ran(self) -> RanState {
                match self { $(Self::$kind => RanState::$ran,)* }
            }

            /// Returns the delay in milliseconds after which a retry can succeed; `None` if a retry cannot succeed.
            pub fn retry_after_ms(self) -> Option<u64> {
                match self { $(Self::$kind => $retry_ms,)* }
            }

            /// Returns the message for the caller, which names the culprit and the fix.
            pub fn message(self) -> &'static str {
                match self { $(Self::$kind => $message,)* }
            }
        }
    };
}

error_kinds! {
    /// The request has no key, or the key belongs to no workspace.
    UnknownKey = "unknown_key", 401, NotRun, None,
        "the bearer key belongs to no workspace; send a key of the bundle in force";
    /// No route of the bundle matches the path.
    UnknownRoute = "unknown_route", 404, NotRun, None,
        "no service has this path; use a path of the bundle in force";
    /// The route and the workspace have no allowed region in common.
    NoAllowedRegion = "no_allowed_region", 403, NotRun, None,
        "the route and the workspace allow no region in common; correct their `allowed_regions`";
    /// No service serves the model.
    UnknownModel = "unknown_model", 404, NotRun, None,
        "no service has this model; name a model of the bundle in force";
    /// The route does not accept the method.
    MethodNotAllowed = "method_not_allowed", 405, NotRun, None,
        "this path takes POST only";
    /// The header section is larger than the settings allow.
    HeaderTooLarge = "header_too_large", 431, NotRun, None,
        "the request's headers are over the limit; send fewer or shorter headers";
    /// The body is larger than the settings allow.
    BodyTooLarge = "body_too_large", 413, NotRun, None,
        "the request's body is over the limit; send a smaller body";
    /// The body is incomplete.
    BodyIncomplete = "body_incomplete", 400, NotRun, None,
        "the request's body ended early; send the whole body";
    /// The body is not the JSON that the route requires.
    BadJson = "bad_json", 400, NotRun, None,
        "the body is not valid JSON with a `model` string; correct it";
    /// A header has an invalid value.
    BadHeader = "bad_header", 400, NotRun, None,
        "a reedsail-* header has a value that cannot be read; see the callers' page";
    /// A non-idempotent call has no idempotency key.
    KeyRequired = "idempotency_key_required", 400, NotRun, None,
        "this call may not be repeated; send an `Idempotency-Key` header with a UUIDv7";
    /// The idempotency key contains no timestamp.
    KeyMalformed = "idempotency_key_malformed", 400, NotRun, None,
        "the `Idempotency-Key` is no UUIDv7; make a new one for each action";
    /// The idempotency key is older than the retention period of the log.
    KeyExpired = "idempotency_key_expired", 409, NotRun, None,
        "the `Idempotency-Key` is too old to be checked; find out what became of the action";
    /// The timestamp of the idempotency key is too far in the future.
    KeyFromFuture = "idempotency_key_from_future", 400, NotRun, None,
        "the `Idempotency-Key` has a time ahead of ours; set the caller's clock";
    /// The key is claimed and the outcome of its call is unknown: the call is running, or was interrupted.
    KeyInUse = "idempotency_key_in_use", 409, Unknown, Some(1_000),
        "a call with this `Idempotency-Key` was sent and its end is not known; find out what became of it";
    /// An earlier call with this key completed.
    KeyAlreadyRan = "idempotency_key_already_ran", 409, Ran, None,
        "the call with this `Idempotency-Key` ran; its status is in `reedsail-first-status`";
    /// The log that holds claims is unreachable, so a non-idempotent call is refused.
    ClaimUnavailable = "claim_unavailable", 503, NotRun, Some(2_000),
        "the log for calls that may not be repeated is out of reach; retry later with the same key";
    /// The workspace exceeds its rate limit.
    RateLimited = "rate_limited", 429, NotRun, Some(1_000),
        "the workspace's rate limit is used up; retry later";
    /// The workspace's queue holds its maximum number of requests.
    QueueFull = "queue_full", 429, NotRun, Some(2_000),
        "the workspace's queue is full; retry later";
    /// The workspace's queue holds its maximum number of bytes.
    QueueBytesFull = "queue_bytes_full", 429, NotRun, Some(2_000),
        "the workspace's queued bodies are over the limit; retry later";
    /// The predicted wait exceeds the caller's deadline.
    WouldMissDeadline = "would_miss_deadline", 429, NotRun, Some(2_000),
        "the predicted wait passes the request's deadline; retry later or allow more time";
    /// The predicted time to first token exceeds the route's target.
    WouldMissTarget = "would_miss_goal", 429, NotRun, Some(300),
        "the backend servers are busy and the answer would begin too late; come back when told";
    /// The workspace has used its share while other workspaces wait.
    OverShare = "over_share", 429, NotRun, Some(300),
        "the workspace has had its share of the backend servers while others wait; come back when told";
    /// A stream is continued, and this instance cannot determine the software version that began it.
    StreamVersionUnknown = "stream_version_unknown", 503, NotRun, Some(500),
        "the software version that began this stream is not known here; come back when told, or begin the stream anew";
    /// A stream is continued, and no backend server runs the software version that began it.
    StreamVersionGone = "stream_version_gone", 503, NotRun, None,
        "no backend server runs the software version that began this stream; begin the stream anew";
    /// Backend servers ended repeatedly while they ran this request, or requests with a segment of its prompt.
    Quarantined = "quarantined", 503, NotRun, None,
        "several backend servers ended while they ran this request, or requests with a segment of its prompt, so it is not sent; change the request, or report its id to the operators";
    /// The deadline passed while the request was queued.
    DeadlineInQueue = "deadline_in_queue", 503, NotRun, Some(1_000),
        "the deadline passed before a backend server was free; retry later or allow more time";
    /// The service has no reachable backend server.
    NoBackend = "no_backend", 503, NotRun, Some(2_000),
        "no backend server of the service could be reached; retry later";
    /// Every backend server that could take the request has asked for a back-off.
    BackendsBackedOff = "backends_backed_off", 503, NotRun, Some(1_000),
        "every backend server that could take the request asked to be left alone for a while; come back when told";
    /// The instance has no bundle in force yet.
    NotReady = "not_ready", 503, NotRun, Some(1_000),
        "this daemon has no bundle in force yet; retry on another";
    /// The instance has as many open requests as its memory allows, or its processor is overloaded.
    DaemonOverloaded = "daemon_overloaded", 503, NotRun, Some(500),
        "this daemon has more requests than its memory or processor can take; retry on another";
    /// The instance has no memory for the body.
    NoBodyRoom = "no_body_room", 503, NotRun, Some(1_000),
        "this daemon has no memory for the request's body; retry on another";
    /// The instance is stopping.
    Stopping = "stopping", 503, NotRun, Some(500),
        "this daemon is stopping; retry on another";
    /// A backend server failed after bytes were sent.
    BackendFailed = "backend_failed", 502, Unknown, None,
        "the backend server failed after the request was sent; it may have run";
    /// A backend server's answer was truncated.
    AnswerIncomplete = "answer_incomplete", 502, Unknown, None,
        "the backend server's answer broke off; the call may have run";
    /// A backend server's answer belongs to another request.
    AnswerMismatched = "answer_mismatched", 502, Unknown, None,
        "the backend server answered another request; the call may have run";
    /// A backend server's answer is larger than the settings allow.
    AnswerTooLarge = "answer_too_large", 502, Ran, None,
        "the backend server's answer is over the limit; ask for less";
    /// The deadline passed after the request was sent.
    DeadlineAfterSend = "deadline_after_send", 504, Unknown, None,
        "the deadline passed before the backend server answered; the call may have run";
}
