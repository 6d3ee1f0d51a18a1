//! The stream message: the datagram by which instances tell and ask each other which software version began a stream.

use capnp::message::Builder;
use capnp::serialize_packed;
use reedsail_core::NameHash;
use reedsail_dispatch::SoftwareVersion;
use reedsail_dispatch::StreamId;
use reedsail_dispatch::StreamKnowledge;
use reedsail_dispatch::StreamRow;

use crate::load_capnp::stream_versions;
use crate::load_message::check_rows;
use crate::load_message::read_datagram;

/// The first byte of a stream message. No load message begins with it, and releases that know only load messages ignore
/// such a datagram.
pub(crate) const STREAM_MESSAGE_MARK: u8 = 0xff;
/// The version in a message that stands for an unknown one.
const UNKNOWN_VERSION: u32 = 0;

/// Asks which software version began a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StreamQuery {
    /// A number that the sender chooses and the answer repeats.
    pub number: u32,
    /// The stream.
    pub stream: StreamId,
    /// The service at which the caller wants to continue.
    pub service: NameHash,
}

/// The answer to a query.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StreamAnswer {
    /// The number of the query.
    pub number: u32,
    /// What the sender knows.
    pub knowledge: StreamKnowledge,
}

/// A stream message. Lost ones are not retransmitted: a row is sent to several instances, and a query ends by time-out.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StreamMessage {
    /// Streams whose version the sender tells.
    pub rows: Vec<StreamRow>,
    /// What the sender asks.
    pub queries: Vec<StreamQuery>,
    /// Answers to the receiver's queries.
    pub answers: Vec<StreamAnswer>,
}

impl StreamMessage {
    /// Encodes the message.
    ///
    /// # Errors
    /// Returns an error if memory runs out.
    pub fn encode(&self) -> Result<Vec<u8>, capnp::Error> {
        let mut message = Builder::new_default();
        self.write(message.init_root::<stream_versions::Builder<'_>>());
        let mut bytes = vec![STREAM_MESSAGE_MARK];
        serialize_packed::write_message(&mut bytes, &message)?;
        Ok(bytes)
    }

    /// Writes the lists that are not empty.
    fn write(&self, mut root: stream_versions::Builder<'_>) {
        self.write_rows(&mut root);
        self.write_queries(&mut root);
        self.write_answers(&mut root);
    }

    fn write_rows(&self, root: &mut stream_versions::Builder<'_>) {
        if self.rows.is_empty() {
            return;
        }
        let mut rows = root.reborrow().init_rows(self.rows.len() as u32);
        for (index, row) in (0..).zip(&self.rows) {
            let mut target = rows.reborrow().get(index);
            target.set_stream(row.stream.0);
            target.set_service(row.service.0);
            target.set_workspace(row.workspace.0);
            target.set_version(version_code(row.version));
            target.set_left_ms(row.left_ms);
        }
    }

    fn write_queries(&self, root: &mut stream_versions::Builder<'_>) {
        if self.queries.is_empty() {
            return;
        }
        let mut queries = root.reborrow().init_queries(self.queries.len() as u32);
        for (index, query) in (0..).zip(&self.queries) {
            let mut target = queries.reborrow().get(index);
            target.set_number(query.number);
            target.set_stream(query.stream.0);
            target.set_service(query.service.0);
        }
    }

    fn write_answers(&self, root: &mut stream_versions::Builder<'_>) {
        if self.answers.is_empty() {
            return;
        }
        let mut answers = root.reborrow().init_answers(self.answers.len() as u32);
        for (index, answer) in (0..).zip(&self.answers) {
            let mut target = answers.reborrow().get(index);
            target.set_number(answer.number);
            match answer.knowledge {
                StreamKnowledge::Unknown => {}
                StreamKnowledge::Began { service, version } => {
                    target.set_knowledge(1);
                    target.set_service(service.0);
                    target.set_version(version_code(version));
                }
                StreamKnowledge::OnlyVersion(version) => {
                    target.set_knowledge(2);
                    target.set_version(version.0.0);
                }
            }
        }
    }

    /// Decodes the bytes after [`STREAM_MESSAGE_MARK`]. The length of every list is limited.
    pub(crate) fn decode_content(bytes: &[u8]) -> Result<Self, capnp::Error> {
        let message = read_datagram(bytes)?;
        let root = message.get_root::<stream_versions::Reader<'_>>()?;
        let (rows, queries, answers) = (root.get_rows()?, root.get_queries()?, root.get_answers()?);
        for length in [rows.len(), queries.len(), answers.len()] {
            check_rows(length)?;
        }
        let rows = rows.iter().map(|row| StreamRow {
            stream: StreamId(row.get_stream()),
            service: NameHash(row.get_service()),
            workspace: NameHash(row.get_workspace()),
            version: version_of_code(row.get_version()),
            left_ms: row.get_left_ms(),
        });
        let queries = queries.iter().map(|query| StreamQuery {
            number: query.get_number(),
            stream: StreamId(query.get_stream()),
            service: NameHash(query.get_service()),
        });
        let answers = answers.iter().map(|answer| StreamAnswer {
            number: answer.get_number(),
            knowledge: knowledge_of_code(
                answer.get_knowledge(),
                NameHash(answer.get_service()),
                version_of_code(answer.get_version()),
            ),
        });
        Ok(Self {
            rows: rows.collect(),
            queries: queries.collect(),
            answers: answers.collect(),
        })
    }
}

fn version_code(version: Option<SoftwareVersion>) -> u32 {
    version.map_or(UNKNOWN_VERSION, |version| version.0.0)
}

fn version_of_code(code: u32) -> Option<SoftwareVersion> {
    (code != UNKNOWN_VERSION).then_some(SoftwareVersion(NameHash(code)))
}

/// Returns the knowledge in an answer. A code of a later release counts as no knowledge.
fn knowledge_of_code(code: u8, service: NameHash, version: Option<SoftwareVersion>) -> StreamKnowledge {
    match (code, version) {
        (1, version) => StreamKnowledge::Began { service, version },
        (2, Some(version)) => StreamKnowledge::OnlyVersion(version),
        _ => StreamKnowledge::Unknown,
    }
}
