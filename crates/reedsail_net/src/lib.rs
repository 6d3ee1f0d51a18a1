//! Sockets, HTTP connections and threads that both programs share.
//!
//! Owns only the state of connections. `reedsail_core` provides time and error kinds. `NetGate` cuts links between
//! parts of one process in tests.

mod body_framing;
mod byte_counter;
mod clock;
mod connection_pool;
mod counted_stream;
mod deadline_timer;
mod deflate_stream;
mod event_scanner;
mod event_splitter;
mod exchange;
mod frame_limit;
mod hop_headers;
mod http_connection;
mod listen;
mod net_gate;
mod pages;
mod persistent_client;
mod received_body;
mod request_limits;
mod resettable_stream;
mod response_head;
mod response_writes;
mod trailing_bytes;
mod unframed_response;
mod workers;

pub use body_framing::BodyFraming;
pub use byte_counter::ByteCounter;
pub use clock::Clock;
pub use clock::SimulatedSuspension;
pub use connection_pool::ConnectionPool;
pub use counted_stream::CountedStream;
pub use counted_stream::connect;
pub use deadline_timer::DeadlineTimer;
pub use deflate_stream::DeflateStream;
pub use event_scanner::EventScanner;
pub use event_splitter::EventSplitter;
pub use exchange::Exchange;
pub use exchange::exchange;
pub use frame_limit::FrameLimit;
pub use frame_limit::FrameLimitedBody;
pub use hop_headers::HOP_HEADERS;
pub use hop_headers::remove_hop_headers;
pub use http_connection::HttpConnection;
pub use http_connection::SendError;
pub use listen::listen_on;
pub use net_gate::NetGate;
pub use pages::serve_pages;
pub use persistent_client::CallError;
pub use persistent_client::CompleteResponse;
pub use persistent_client::PersistentClient;
pub use received_body::BodyError;
pub use received_body::ReceivedBody;
pub use request_limits::header_bytes;
pub use request_limits::read_body;
pub use resettable_stream::ResetOnClose;
pub use resettable_stream::ResettableStream;
pub use response_head::HeadError;
pub use response_writes::ResponseWrites;
pub use response_writes::TrackedBody;
pub use response_writes::UnwrittenResponses;
pub use unframed_response::ResettingBody;
pub use unframed_response::remove_frame;
pub use workers::Workers;
