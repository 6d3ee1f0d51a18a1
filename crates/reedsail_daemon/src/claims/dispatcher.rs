//! Batches this daemon's claims and claim ends, and sends them to the writer of their shard.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use reedsail_core::NameHash;
use reedsail_scheduling::ClaimKey;
use reedsail_scheduling::SharePolicy;
use reedsail_scheduling::rank_by_rendezvous;
use reedsail_wire::ClaimEnd;
use reedsail_wire::ClaimRequest;
use reedsail_wire::ClaimVerdict;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::watch;
use tokio::task::spawn_local;
use tokio::time::sleep;
use twox_hash::XxHash64;

use super::ClaimJob;
use super::ClaimWriter;
use super::WriterJob;
use super::run_writer;
use crate::control::Links;
use crate::control::PeerAddress;

/// How long jobs are gathered before they are sent to the writers.
const GATHER_WINDOW_MS: u64 = 5;
/// The maximum number of jobs that start a batch. Jobs that arrive during [`GATHER_WINDOW_MS`] are added
/// without a limit.
const BATCH_START_JOBS_MAX: usize = 4_096;
/// How many other daemons are tried before this daemon writes the claims itself.
const REMOTE_WRITERS_TRIED_MAX: usize = 1;
/// The maximum length of a writer's queue, in jobs.
const WRITER_QUEUE_MAX: usize = 4_096;

/// The claims and claim ends of one batch that belong to one shard.
#[derive(Debug, Default)]
struct ShardPart {
    /// The index of each claim in the list passed to [`ClaimRouter::write_here`], which alone uses it.
    indices: Vec<usize>,
    claims: Vec<ClaimRequest>,
    /// Where the verdict on each claim is sent. Used by [`run_dispatcher`] alone.
    replies: Vec<oneshot::Sender<ClaimVerdict>>,
    ends: Vec<ClaimEnd>,
}

/// Routes claims to this daemon's writers or to those of other daemons.
#[derive(Clone)]
pub(crate) struct ClaimRouter<P: SharePolicy> {
    links: Links<P>,
    own_name: NameHash,
    domain_daemons: watch::Receiver<Vec<PeerAddress>>,
    writers: Rc<Vec<mpsc::Sender<WriterJob>>>,
}

impl<P: SharePolicy> ClaimRouter<P> {
    /// Starts this daemon's writers, one for each shard. An idle writer only waits on its queue.
    pub(crate) fn start(
        links: Links<P>,
        domain_daemons: watch::Receiver<Vec<PeerAddress>>,
        make_writer: impl Fn(u32) -> ClaimWriter,
    ) -> Self {
        let settings = &links.shared().settings;
        let own_name = NameHash::of(&settings.instance);
        let writers = (0..settings.claims.shards).map(|shard| {
            let (jobs, queue) = mpsc::channel(WRITER_QUEUE_MAX);
            spawn_local(run_writer(make_writer(shard), queue));
            jobs
        });
        let writers = Rc::new(writers.collect());
        Self {
            links,
            own_name,
            domain_daemons,
            writers,
        }
    }

    /// Writes claims and claim ends with the writers of this daemon, for itself or for a peer.
    pub(crate) async fn write_here(
        &self,
        claims: Vec<ClaimRequest>,
        ends: Vec<ClaimEnd>,
    ) -> Vec<ClaimVerdict> {
        let count = claims.len();
        let mut verdicts: Vec<ClaimVerdict> = vec![ClaimVerdict::Unavailable; count];
        let mut parts: HashMap<usize, ShardPart> = HashMap::new();
        for (index, claim) in claims.into_iter().enumerate() {
            let part = parts.entry(self.shard_of(claim.key)).or_default();
            part.indices.push(index);
            part.claims.push(claim);
        }
        for end in ends {
            parts.entry(self.shard_of(end.key)).or_default().ends.push(end);
        }
        for (shard, part) in parts {
            let (reply, verdicts_receiver) = oneshot::channel();
            let job = WriterJob {
                claims: part.claims,
                ends: part.ends,
                reply,
            };
            if self.writers[shard].send(job).await.is_err() {
                continue;
            }
            let shard_verdicts = verdicts_receiver.await.unwrap_or_default();
            for (index, verdict) in part.indices.into_iter().zip(shard_verdicts) {
                verdicts[index] = verdict;
            }
        }
        verdicts
    }

    fn shard_of(&self, key: ClaimKey) -> usize {
        let hash = XxHash64::oneshot(0, &key.0.to_be_bytes());
        (hash % self.writers.len() as u64) as usize
    }

    /// Sends one shard's claims to its writer, and to the next writer in rank if that one fails. Both get the
    /// same nonces, so it is harmless if the first writer's append took effect.
    async fn write_shard(
        &self,
        shard: usize,
        claims: &[ClaimRequest],
        ends: &[ClaimEnd],
    ) -> Vec<ClaimVerdict> {
        let daemons = self.domain_daemons.borrow().clone();
        let mut names: Vec<NameHash> = daemons.iter().map(|daemon| daemon.name).collect();
        names.push(self.own_name);
        let role = XxHash64::oneshot(shard as u64, b"claim writer");
        let ranked = rank_by_rendezvous(role, &names);
        let mut may_be_recorded = false;
        let others = ranked.into_iter().take_while(|name| *name != self.own_name);
        for name in others.take(REMOTE_WRITERS_TRIED_MAX) {
            let Some(writer) = daemons.iter().find(|daemon| daemon.name == name) else {
                continue;
            };
            match self.links.claim(writer, claims, ends).await {
                Ok(verdicts) => return verdicts,
                // Only a failed connection rules out that the peer appended the claims.
                Err(error) => may_be_recorded |= !matches!(error, reedsail_wire::LinkError::Connect(_)),
            }
        }
        let mut verdicts = self.write_here(claims.to_vec(), ends.to_vec()).await;
        if may_be_recorded {
            for verdict in &mut verdicts {
                if *verdict == ClaimVerdict::Unavailable {
                    *verdict = ClaimVerdict::Unsettled;
                }
            }
        }
        verdicts
    }
}

/// Serves the claims of the traffic threads until all senders are dropped.
pub(crate) async fn run_dispatcher<P: SharePolicy>(
    router: ClaimRouter<P>,
    mut jobs: mpsc::Receiver<ClaimJob>,
) {
    let mut batch = Vec::new();
    while jobs.recv_many(&mut batch, BATCH_START_JOBS_MAX).await > 0 {
        sleep(Duration::from_millis(GATHER_WINDOW_MS)).await;
        while let Ok(job) = jobs.try_recv() {
            batch.push(job);
        }
        let mut parts: HashMap<usize, ShardPart> = HashMap::new();
        for job in batch.drain(..) {
            match job {
                ClaimJob::Claim(request, reply) => {
                    let part = parts.entry(router.shard_of(request.key)).or_default();
                    part.claims.push(request);
                    part.replies.push(reply);
                }
                ClaimJob::End(end) => parts.entry(router.shard_of(end.key)).or_default().ends.push(end),
            }
        }
        for (shard, part) in parts {
            let router = router.clone();
            spawn_local(async move {
                let verdicts = router.write_shard(shard, &part.claims, &part.ends).await;
                for (reply, verdict) in part.replies.into_iter().zip(verdicts) {
                    let _ = reply.send(verdict);
                }
            });
        }
    }
}
