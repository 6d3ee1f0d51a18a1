//! Body memory: whether the memory of this instance has room for a body.
//!
//! **Rule.** Bodies of callers and servers count from before they are read until their last byte is dropped, and those of
//! up to [`UNCOUNTED_BYTES_MAX`] never. A body gets room if it fits into what is free and its workspace then holds at most
//! [`FREE_MULTIPLE`] times what remains free. The first body of a workspace needs to fit only.
//!
//! **Inputs.** The limit (bytes), the bytes held of all workspaces and of the body's own.
//!
//! **Why.** A workspace alone may hold most of the limit. The more workspaces hold bodies, the less each may hold, so that
//! a flood of large bodies leaves room for those of other workspaces. What is refused is refused before it is read.
//!
//! **Tested by** `tests/body_memory.rs`.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use reedsail_core::NameHash;

/// Largest body that is not counted, in bytes. The bound on open requests limits the memory of these.
pub const UNCOUNTED_BYTES_MAX: u64 = 32 << 10;
/// How many times the bytes that remain free a workspace may hold.
const FREE_MULTIPLE: u64 = 4;
/// Percentage of the instance's memory that bodies may take if the settings have no limit.
const MEMORY_PERCENT: u64 = 40;
/// Bytes of a megabyte in settings.
const BYTES_PER_MB: u64 = 1_000_000;

/// Returns the limit on the bytes of bodies for the given memory, if the settings have none.
pub fn body_memory_default_mb(memory_mb: u64) -> u64 {
    memory_mb * MEMORY_PERCENT / 100
}

/// Whose body is held.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyKind {
    /// The body of a caller's request.
    Request,
    /// The body of a server's response.
    Response,
}

/// Bytes of bodies that are held now.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HeldBytes {
    /// Bytes of request bodies.
    pub request_bytes: u64,
    /// Bytes of response bodies.
    pub response_bytes: u64,
}

impl HeldBytes {
    /// Returns the bytes of all bodies.
    pub fn total(self) -> u64 {
        self.request_bytes + self.response_bytes
    }

    fn of_kind(&mut self, kind: BodyKind) -> &mut u64 {
        match kind {
            BodyKind::Request => &mut self.request_bytes,
            BodyKind::Response => &mut self.response_bytes,
        }
    }
}

/// A body has no room. The fields are the inputs of the decision, in bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NoBodyRoom {
    /// The size of the body, as far as it is known.
    pub body_bytes: u64,
    /// What the workspace holds.
    pub workspace_bytes: u64,
    /// What all workspaces hold.
    pub held_bytes: u64,
    /// What all workspaces may hold.
    pub limit_bytes: u64,
}

#[derive(Debug)]
struct Account {
    limit_bytes: u64,
    held: HeldBytes,
    /// Workspaces that hold nothing are absent.
    by_workspace: HashMap<NameHash, u64>,
}

impl Account {
    fn take(&mut self, workspace: NameHash, kind: BodyKind, bytes: u64) -> Result<(), NoBodyRoom> {
        let workspace_bytes = self.by_workspace.get(&workspace).copied().unwrap_or_default();
        let free_bytes = self.limit_bytes.saturating_sub(self.held.total());
        let remaining_bytes = free_bytes.checked_sub(bytes);
        let may_hold_bytes = remaining_bytes.map(|remaining_bytes| match workspace_bytes {
            0 => u64::MAX,
            _ => remaining_bytes * FREE_MULTIPLE,
        });
        if may_hold_bytes.is_none_or(|may_hold_bytes| workspace_bytes + bytes > may_hold_bytes) {
            return Err(NoBodyRoom {
                body_bytes: bytes,
                workspace_bytes,
                held_bytes: self.held.total(),
                limit_bytes: self.limit_bytes,
            });
        }
        *self.held.of_kind(kind) += bytes;
        *self.by_workspace.entry(workspace).or_default() += bytes;
        Ok(())
    }

    fn give_back(&mut self, workspace: NameHash, kind: BodyKind, bytes: u64) {
        *self.held.of_kind(kind) -= bytes;
        let Some(workspace_bytes) = self.by_workspace.get_mut(&workspace) else {
            return;
        };
        *workspace_bytes -= bytes;
        if *workspace_bytes == 0 {
            self.by_workspace.remove(&workspace);
        }
    }
}

/// The account of the bytes of bodies. Clones share their state.
#[derive(Clone, Debug)]
pub struct BodyMemory(Arc<Mutex<Account>>);

impl BodyMemory {
    /// Creates an account with a limit in megabytes of a million bytes.
    pub fn new(limit_mb: u64) -> Self {
        Self(Arc::new(Mutex::new(Account {
            limit_bytes: limit_mb * BYTES_PER_MB,
            held: HeldBytes::default(),
            by_workspace: HashMap::new(),
        })))
    }

    /// Reserves room for a body.
    ///
    /// # Errors
    /// Returns the inputs of the decision if there is no room.
    pub fn reserve(
        &self,
        workspace: NameHash,
        kind: BodyKind,
        bytes: u64,
    ) -> Result<BodyReservation, NoBodyRoom> {
        self.account().take(workspace, kind, bytes)?;
        Ok(BodyReservation {
            memory: self.clone(),
            workspace,
            kind,
            bytes,
        })
    }

    /// Returns the bytes that are held now.
    pub fn held(&self) -> HeldBytes {
        self.account().held
    }

    /// Returns the bytes that may be held.
    pub fn limit_bytes(&self) -> u64 {
        self.account().limit_bytes
    }

    fn account(&self) -> MutexGuard<'_, Account> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Room for one body. Dropping it gives the room back.
#[derive(Debug)]
pub struct BodyReservation {
    memory: BodyMemory,
    workspace: NameHash,
    kind: BodyKind,
    bytes: u64,
}

impl BodyReservation {
    /// Returns the reserved bytes.
    pub fn bytes(&self) -> u64 {
        self.bytes
    }

    /// Reserves more room, so that `bytes` are reserved.
    ///
    /// # Errors
    /// Returns the inputs of the decision if there is no room. What was reserved stays so.
    pub fn grow_to(&mut self, bytes: u64) -> Result<(), NoBodyRoom> {
        let more_bytes = bytes.saturating_sub(self.bytes);
        let mut account = self.memory.account();
        account.take(self.workspace, self.kind, more_bytes)?;
        self.bytes += more_bytes;
        Ok(())
    }

    /// Gives back what is reserved beyond `bytes`.
    pub fn shrink_to(&mut self, bytes: u64) {
        let fewer_bytes = self.bytes.saturating_sub(bytes);
        let mut account = self.memory.account();
        account.give_back(self.workspace, self.kind, fewer_bytes);
        self.bytes -= fewer_bytes;
    }
}

impl Drop for BodyReservation {
    fn drop(&mut self) {
        self.memory
            .account()
            .give_back(self.workspace, self.kind, self.bytes);
    }
}
