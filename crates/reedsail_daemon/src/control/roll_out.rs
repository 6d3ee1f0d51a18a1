//! Rolls out bundles: determines which bundle is in force on this daemon, from the log or from peers.

use std::sync::Arc;
use std::sync::PoisonError;

use reedsail_bundle::Followed;
use reedsail_bundle::read_bundle;
use reedsail_core::Directory;
use reedsail_core::NameHash;
use reedsail_core::TimeMs;
use reedsail_document::render_faults;
use reedsail_events::EventKind;
use reedsail_log_client::LogPage;
use reedsail_net::Clock;
use reedsail_scheduling::FoldVerdict;
use reedsail_scheduling::SharePolicy;
use reedsail_scheduling::rank_by_rendezvous;

use super::Control;
use super::messages::LinkAction;
use crate::service_cell::ServiceCell;
use crate::stage::Stage;
use crate::view::View;

/// How long a daemon waits for the log to deliver a newer version that a peer has, before it fetches it from
/// the peer.
const PEER_FETCH_AFTER_MS: u64 = 1_000;
/// How long the log must be unreachable before a version from a peer is enough to become ready.
const LOG_GIVEN_UP_AFTER_MS: u64 = 1_000;
/// The interval at which a daemon that does not know the bundle in force asks the next peer, in ticks.
const FETCH_EVERY_TICKS: u64 = 10;
/// The role of appending checkpoints of the bundle in force to the log.
const CHECKPOINT_ROLE: u64 = 0x6368_6563_6b70_6f69;

impl<P: SharePolicy> Control<P> {
    /// Folds a page of the bundle stream. Returns the offset of the next read.
    pub(super) fn follow_log(&mut self, page: &LogPage) -> u64 {
        self.note_log_reachable(true);
        if page.first_offset > self.follower.next_offset() {
            let first = page.first_offset.to_string();
            self.shared
                .events
                .emit(EventKind::LogTruncated, &[("first_offset", &first)]);
        }
        self.follower.note_truncation(page.first_offset);
        let version_before = self.follower.in_force();
        for record in &page.records {
            let followed = self.follower.follow(record.offset, &record.data);
            self.note_followed(&followed, record.offset);
            let confirms_in_force = matches!(
                followed,
                Followed::InForce(_) | Followed::Unchanged(FoldVerdict::AlreadyKnown)
            );
            if confirms_in_force {
                self.in_force_seen_unix_ms = record.appended_unix_ms;
            }
        }
        if self.follower.in_force() != version_before {
            self.apply_in_force();
        }
        if self.follower.next_offset() >= page.next_offset {
            self.is_log_caught_up = true;
        }
        self.check_ready();
        self.follower.next_offset()
    }

    fn note_followed(&self, followed: &Followed, offset: u64) {
        let offset = offset.to_string();
        match followed {
            Followed::Invalid(error) => {
                let fields = [("offset", offset.as_str()), ("error", &error.to_string())];
                self.shared.events.emit(EventKind::BundleInvalid, &fields);
            }
            Followed::Unchanged(FoldVerdict::Stale) => {
                let fields = [("offset", offset.as_str())];
                self.shared.events.emit(EventKind::BundleStale, &fields);
            }
            Followed::Unchanged(_) | Followed::InForce(_) => {}
        }
    }

    /// Puts the accepted content in force on this daemon, completely or not at all.
    fn apply_in_force(&mut self) {
        let (Some(accepted), Some(content)) = (self.follower.in_force(), self.follower.content()) else {
            return;
        };
        let version = accepted.version.to_string();
        let bundle = match read_bundle(content) {
            Ok(bundle) if bundle.version == accepted.version => bundle,
            Ok(bundle) => {
                let error = format!("its content states version {}", bundle.version);
                let fields = [("version", version.as_str()), ("error", &error)];
                self.shared.events.emit(EventKind::BundleNotApplied, &fields);
                return;
            }
            Err(faults) => {
                let fields = [("version", version.as_str()), ("error", &render_faults(&faults))];
                self.shared.events.emit(EventKind::BundleNotApplied, &fields);
                return;
            }
        };
        let before = self.shared.view.load_full();
        let mut directory = Directory::clone(&self.shared.directory.load());
        let policy = &self.shared.policy;
        let clock = self.shared.clock;
        let view = View::build(&bundle, &mut directory, &before, |_| {
            ServiceCell::new(policy.clone(), clock)
        });
        // The names are stored first, because a reader of the view must be able to look up its keys.
        self.shared.directory.store(Arc::new(directory));
        self.shared.view.store(Arc::new(view));
        let digest = hex::encode(accepted.digest);
        self.shared
            .metrics
            .bundle_version
            .set(i64::from(accepted.version));
        let fields = [("version", version.as_str()), ("digest", &digest[..12])];
        self.shared.events.emit(EventKind::BundleInForce, &fields);
        *self
            .shared
            .digest_in_force
            .lock()
            .unwrap_or_else(PoisonError::into_inner) = digest;
        self.after_bundle_change();
    }

    fn after_bundle_change(&mut self) {
        self.replan();
        let now = self.shared.clock.now();
        self.mark_servers_leaving(now);
        self.refresh_allocators(now);
    }

    /// Becomes ready once a bundle is in force that no reachable source supersedes.
    fn check_ready(&mut self) {
        let now = self.shared.clock.now();
        let log_given_up = self
            .log_lost_at
            .is_some_and(|at| now.since_ms(at) >= LOG_GIVEN_UP_AFTER_MS);
        if self.shared.view.load().version == 0 || !(self.is_log_caught_up || log_given_up) {
            return;
        }
        let since = *self.applied_at.get_or_insert(now);
        let leases_awaited = now.since_ms(since) < self.shared.settings.control.lease_ms;
        if leases_awaited && !self.has_slots_everywhere() {
            return;
        }
        if self.shared.stage.advance(Stage::Ready) {
            self.shared.events.emit(EventKind::InstanceReady, &[]);
        }
    }

    /// Returns whether this daemon has slots of every service, so that its first requests need not wait.
    fn has_slots_everywhere(&self) -> bool {
        let view = self.shared.view.load();
        let mut services = view.services();
        services.all(|(_, service)| service.cell.lock().slot_counts().0 > 0)
    }

    pub(super) fn note_log_reachable(&mut self, reachable: bool) {
        if reachable == self.is_log_reachable {
            return;
        }
        self.is_log_reachable = reachable;
        self.log_lost_at = (!reachable).then(|| self.shared.clock.now());
        self.shared.metrics.platform_reachable.set(i64::from(reachable));
        let kind = if reachable {
            EventKind::PlatformBack
        } else {
            EventKind::PlatformLost
        };
        self.shared.events.emit(kind, &[]);
    }

    /// Applies a peer's copy of the bundle in force.
    pub(super) fn apply_peer_bundle(&mut self, record: &[u8]) {
        match self.follower.learn(record) {
            Ok(true) => {
                let version = self.follower.in_force().map_or(0, |accepted| accepted.version);
                let version = version.to_string();
                let fields = [("version", version.as_str())];
                self.shared.events.emit(EventKind::BundleFromPeer, &fields);
                self.apply_in_force();
            }
            Ok(false) => {}
            Err(error) => {
                let error = error.to_string();
                let fields = [("error", error.as_str())];
                self.shared.events.emit(EventKind::BundleInvalid, &fields);
            }
        }
        self.check_ready();
    }

    pub(super) fn note_peer_version(&mut self, peer: NameHash, version: u32, now: TimeMs) {
        let own = self.follower.in_force().map_or(0, |accepted| accepted.version);
        if version <= own {
            if self.newer_version_at_peer.is_some_and(|(_, known)| known == peer) {
                self.newer_version_at_peer = None;
            }
        } else if self.newer_version_at_peer.is_none() {
            self.newer_version_at_peer = Some((now, peer));
        }
    }

    /// Fetches the bundle from a peer if the log does not deliver it, and appends checkpoints to the log
    /// before the record of the bundle ages out.
    pub(super) fn maintain_bundle(&mut self, now: TimeMs) {
        self.check_ready();
        let has_no_bundle = self.follower.in_force().is_none();
        if let Some((since, peer)) = self.newer_version_at_peer
            && now.since_ms(since) >= PEER_FETCH_AFTER_MS
        {
            self.newer_version_at_peer = None;
            self.fetch_bundle_from(peer);
        } else if (has_no_bundle || !self.follower.is_sure()) && self.ticks.is_multiple_of(FETCH_EVERY_TICKS)
        {
            let alive = self.membership.alive(None, now);
            let turn = (self.ticks / FETCH_EVERY_TICKS) as usize;
            if !alive.is_empty() {
                self.fetch_bundle_from(alive[turn % alive.len()]);
            }
        }
        if self.ticks.is_multiple_of(10) {
            self.checkpoint_if_due(now);
        }
    }

    fn fetch_bundle_from(&mut self, peer: NameHash) {
        let known = self.follower.in_force().map_or(0, |accepted| accepted.version);
        // A daemon that missed records must confirm with a peer even the version that it has.
        let known_version = if self.follower.is_sure() { known } else { 0 };
        if let Some(peer) = self.peer_address(peer) {
            let _ = self.actions.send(LinkAction::FetchBundle { peer, known_version });
        }
    }

    /// Appends a checkpoint if one is due. The first daemon in rank appends it, and each further daemon waits
    /// a quarter of the interval longer.
    fn checkpoint_if_due(&mut self, now: TimeMs) {
        if !self.is_log_reachable || !self.is_log_caught_up || self.is_checkpoint_pending || self.is_stopping
        {
            return;
        }
        let every_ms = self.shared.settings.control.checkpoint_every_ms;
        if self.follower.is_sure() {
            self.log_gap_since = None;
        } else if now.since_ms(*self.log_gap_since.get_or_insert(now)) < every_ms {
            // A daemon that missed no records should append the checkpoint. If none does within the interval,
            // this daemon appends the version that it knows.
            return;
        }
        let mut daemons = self.membership.alive(None, now);
        daemons.push(self.own_name);
        let ranked = rank_by_rendezvous(CHECKPOINT_ROLE, &daemons);
        let rank = ranked.iter().position(|name| *name == self.own_name).unwrap_or(0) as u64;
        let age_ms = Clock::unix_ms().saturating_sub(self.in_force_seen_unix_ms);
        if age_ms < every_ms + every_ms / 4 * rank {
            return;
        }
        // Packing a large bundle takes milliseconds, so it is done last.
        if let Some(record) = self.follower.checkpoint() {
            self.is_checkpoint_pending = true;
            let _ = self.actions.send(LinkAction::AppendCheckpoint(record.to_bytes()));
        }
    }

    pub(super) fn finish_checkpoint(&mut self, appended: bool) {
        self.is_checkpoint_pending = false;
        if appended {
            self.shared.events.emit(EventKind::CheckpointAppended, &[]);
        }
    }
}
