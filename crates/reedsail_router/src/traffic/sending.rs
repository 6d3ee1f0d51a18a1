//! Sends the request of an attempt on a connection, if there is time left for it.

use bytes::Bytes;
use http_body_util::Full;
use hyper::HeaderMap;
use hyper::Request;
use hyper::Response;
use reedsail_core::ErrorKind;
use reedsail_core::Sent;
use reedsail_core::TimeMs;
use reedsail_core::Unsent;
use reedsail_dispatch::Placement;
use reedsail_dispatch::RetryPermit;
use reedsail_net::Exchange;
use reedsail_net::HttpConnection;
use reedsail_net::ReceivedBody;
use reedsail_net::exchange;

use super::Pool;
use super::attempt_guard::AttemptGuard;
use super::call::Call;
use crate::ForwardHead;
use crate::HeaderProtocol;
use crate::server_views::ServerView;
use crate::shared::Shared;

/// What an attempt sends, and where.
pub(super) struct Sending<'a, H> {
    pub(super) shared: &'a Shared<H>,
    pub(super) pool: &'a Pool,
    pub(super) call: &'a Call,
    pub(super) placement: &'a Placement,
    pub(super) server: &'a ServerView,
    pub(super) resume_after: Option<&'a str>,
    pub(super) permit: Option<&'a RetryPermit>,
}

/// The outcome of sending a request on a connection.
pub(super) enum SendOutcome {
    /// No byte was written.
    HandedBack(Unsent),
    /// Nothing was sent, since the caller's deadline has passed or the permit for a retry has expired. The connection is
    /// in the pool.
    Late(Unsent),
    /// The head of the response arrived.
    Head(Sent, Box<Response<ReceivedBody>>, HttpConnection),
    /// Bytes may have been written, and no response arrived.
    Failed(Sent, ErrorKind),
}

impl<H: HeaderProtocol> Sending<'_, H> {
    /// Sends the request on a connection, with the time that is left now.
    pub(super) async fn send(
        &self,
        connection: HttpConnection,
        unsent: Unsent,
        guard: &mut AttemptGuard<H>,
    ) -> SendOutcome {
        let now = self.shared.clock.now();
        let Some(request) = self.request(now) else {
            self.pool
                .give_back(self.placement.server, connection, &HeaderMap::new(), now);
            return SendOutcome::Late(unsent);
        };
        guard.set_written(true);
        let deadline = self.shared.clock.timer(self.call.deadline);
        match exchange(connection, request, unsent, deadline).await {
            Exchange::HandedBack(unsent, _) => SendOutcome::HandedBack(unsent),
            Exchange::Head(sent, response, connection) => SendOutcome::Head(sent, response, connection),
            Exchange::Failed(sent, kind) => SendOutcome::Failed(sent, kind),
        }
    }

    /// Builds the request; `None` if it is too late to send it.
    fn request(&self, now: TimeMs) -> Option<Request<Full<Bytes>>> {
        let is_permitted = self.permit.is_none_or(|permit| permit.is_valid(now));
        let deadline_ms = self.call.time_left_ms(now).filter(|_| is_permitted)?;
        let cache_source = self
            .placement
            .cache_source
            .and_then(|key| self.shared.servers.get(key))
            .map(|source| source.address);
        let call = self.call;
        let mut request = Request::new(Full::new(call.body.clone()));
        *request.method_mut() = call.method.clone();
        *request.uri_mut() = call.uri.clone();
        request.headers_mut().clone_from(&call.headers);
        let forward = ForwardHead {
            request_id: &call.id,
            deadline_ms,
            server_id: &self.server.id,
            workspace: call.workspace.as_ref().map(|workspace| workspace.name.as_str()),
            cache_source,
            resume_after: self.resume_after,
        };
        self.shared
            .protocol
            .write_forward(request.headers_mut(), &forward);
        Some(request)
    }
}
