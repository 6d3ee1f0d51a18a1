//! Reads bodies into memory that the account of this instance counts.

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Body;
use reedsail_core::NameHash;
use reedsail_dispatch::BodyKind;
use reedsail_dispatch::BodyMemory;
use reedsail_dispatch::BodyReservation;
use reedsail_dispatch::NoBodyRoom;
use reedsail_dispatch::UNCOUNTED_BYTES_MAX;

/// Why a body is not in memory as a whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum BodyError {
    /// It is longer than bodies may be.
    TooLarge,
    /// It ended early.
    Broken,
    /// There is no room for it.
    NoRoom(NoBodyRoom),
}

/// A body in memory, as far as it was read. A counted one is counted until the last copy of its bytes is dropped.
#[derive(Debug)]
pub(crate) struct BodyBuffer<'a> {
    memory: &'a BodyMemory,
    workspace: NameHash,
    kind: BodyKind,
    bytes_max: usize,
    /// The only frame so far, if nothing is reserved. Most bodies have one frame, which is not copied.
    first: Bytes,
    bytes: Vec<u8>,
    reservation: Option<BodyReservation>,
}

impl<'a> BodyBuffer<'a> {
    /// Creates a buffer for a body of at most `bytes_max` bytes.
    pub(crate) fn new(memory: &'a BodyMemory, workspace: NameHash, kind: BodyKind, bytes_max: usize) -> Self {
        Self {
            memory,
            workspace,
            kind,
            bytes_max,
            first: Bytes::new(),
            bytes: Vec::new(),
            reservation: None,
        }
    }

    /// Reads a body to its end. A body of a known length has room from the beginning, or nothing of it is read.
    ///
    /// # Errors
    /// Says why the rest of the body is not read. What was read stays in the buffer.
    pub(crate) async fn read<B>(&mut self, body: &mut B) -> Result<(), BodyError>
    where
        B: Body<Data = Bytes> + Unpin,
    {
        if let Some(bytes) = body.size_hint().exact() {
            let bytes = usize::try_from(bytes).map_err(|_overflow| BodyError::TooLarge)?;
            self.make_room(bytes, bytes)?;
        }
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|_error| BodyError::Broken)?;
            if let Ok(data) = frame.into_data() {
                self.push(data)?;
            }
        }
        Ok(())
    }

    /// Returns what was read.
    pub(crate) fn into_bytes(mut self) -> Bytes {
        let Some(mut reservation) = self.reservation.take() else {
            return if self.bytes.is_empty() {
                self.first
            } else {
                Bytes::from(self.bytes)
            };
        };
        self.bytes.shrink_to_fit();
        reservation.shrink_to(self.bytes.len() as u64);
        Bytes::from_owner(CountedBytes {
            bytes: self.bytes,
            _reservation: reservation,
        })
    }

    /// Appends a frame, also if there is no room for more.
    fn push(&mut self, data: Bytes) -> Result<(), BodyError> {
        let read_bytes = self.bytes.len() + self.first.len() + data.len();
        let room = self.make_room(read_bytes, (read_bytes * 2).min(self.bytes_max));
        if self.bytes.capacity() == 0 && self.first.is_empty() {
            self.first = data;
            return room;
        }
        self.bytes.extend_from_slice(&std::mem::take(&mut self.first));
        self.bytes.extend_from_slice(&data);
        room
    }

    /// Makes room for `needed_bytes`, or for `wanted_bytes` if there is less room now and so much is free.
    fn make_room(&mut self, needed_bytes: usize, wanted_bytes: usize) -> Result<(), BodyError> {
        if needed_bytes > self.bytes_max {
            return Err(BodyError::TooLarge);
        }
        let reserved_bytes = self.reservation.as_ref().map_or(0, BodyReservation::bytes);
        if needed_bytes as u64 <= UNCOUNTED_BYTES_MAX.max(reserved_bytes) {
            return Ok(());
        }
        self.reserve(wanted_bytes as u64)
            .or_else(|_full| self.reserve(needed_bytes as u64))
            .map_err(BodyError::NoRoom)?;
        let capacity = self.reservation.as_ref().map_or(0, BodyReservation::bytes);
        self.bytes.reserve_exact(capacity as usize - self.bytes.len());
        Ok(())
    }

    fn reserve(&mut self, bytes: u64) -> Result<(), NoBodyRoom> {
        if let Some(reservation) = &mut self.reservation {
            return reservation.grow_to(bytes);
        }
        let reserved = self.memory.reserve(self.workspace, self.kind, bytes)?;
        self.reservation = Some(reserved);
        Ok(())
    }
}

/// Bytes that are counted until they are dropped.
struct CountedBytes {
    bytes: Vec<u8>,
    _reservation: BodyReservation,
}

impl AsRef<[u8]> for CountedBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}
