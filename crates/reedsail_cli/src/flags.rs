//! Command-line flags of each command.

pub(crate) mod bundle;
pub(crate) mod fleet;
pub(crate) mod keys;
pub(crate) mod requests;
pub(crate) mod timeline;
