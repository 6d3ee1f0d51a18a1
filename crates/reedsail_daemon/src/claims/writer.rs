//! Appends claims to the log in batches and reads back which nonce holds each key.
//!
//! Any daemon can write claims. One daemon of each failure domain writes, so that claims share appends. Two
//! writers of one shard only cost extra appends, since the order of the log alone decides which claim holds.
//!
//! The timestamp in a key selects its stream, so all claims of a key are in one short stream, and a writer
//! that starts without state reads only the minutes of the keys that it is asked about.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use reedsail_log_client::LogPage;
use reedsail_log_client::PlatformClient;
use reedsail_scheduling::ClaimFold;
use reedsail_scheduling::ClaimKey;
use reedsail_scheduling::ClaimState;
use reedsail_wire::ClaimBatch;
use reedsail_wire::ClaimEnd;
use reedsail_wire::ClaimRequest;
use reedsail_wire::ClaimVerdict;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::settings::ClaimSettings;

/// The length of the time range whose keys share a stream.
const BUCKET_MS: u64 = 60_000;
/// The time limit for appending a batch to the log and reading it back.
const SETTLE_LIMIT_MS: u64 = 1_500;
/// The pause between two attempts.
const RETRY_PAUSE_MS: u64 = 50;
/// The number of batches after which the state of an unused stream is dropped. It can be read again.
const IDLE_BATCHES_MAX: u64 = 10_000;
/// The maximum number of ends kept while the log is unreachable.
const PENDING_ENDS_MAX: usize = 100_000;

/// Claims and ends for one shard, from one daemon.
#[derive(Debug)]
pub(crate) struct WriterJob {
    pub(crate) claims: Vec<ClaimRequest>,
    pub(crate) ends: Vec<ClaimEnd>,
    pub(crate) reply: oneshot::Sender<Vec<ClaimVerdict>>,
}

#[derive(Debug, Default)]
struct Bucket {
    fold: ClaimFold,
    used_at_batch: u64,
}

/// The writer of one shard on one daemon.
#[derive(Debug)]
pub(crate) struct ClaimWriter {
    shard: u32,
    settings: ClaimSettings,
    platform: Rc<PlatformClient>,
    buckets: HashMap<u64, Bucket>,
    pending_ends: Vec<ClaimEnd>,
    batches: u64,
}

/// Serves one shard's claims until all senders are dropped.
pub(crate) async fn run_writer(mut writer: ClaimWriter, mut jobs: mpsc::Receiver<WriterJob>) {
    while let Some(first) = jobs.recv().await {
        sleep(Duration::from_millis(writer.settings.batch_window_ms)).await;
        let mut batch = vec![first];
        while let Ok(job) = jobs.try_recv() {
            batch.push(job);
        }
        writer.write_jobs(batch).await;
    }
}

impl ClaimWriter {
    pub(crate) fn new(shard: u32, settings: ClaimSettings, platform: Rc<PlatformClient>) -> Self {
        Self {
            shard,
            settings,
            platform,
            buckets: HashMap::new(),
            pending_ends: Vec::new(),
            batches: 0,
        }
    }

    /// Writes the claims and ends of the jobs and replies to each job.
    async fn write_jobs(&mut self, jobs: Vec<WriterJob>) {
        self.batches += 1;
        let mut by_bucket: HashMap<u64, (Vec<ClaimRequest>, Vec<ClaimEnd>)> = HashMap::new();
        for end in std::mem::take(&mut self.pending_ends) {
            by_bucket.entry(bucket_of(end.key)).or_default().1.push(end);
        }
        for job in &jobs {
            for claim in &job.claims {
                by_bucket.entry(bucket_of(claim.key)).or_default().0.push(*claim);
            }
            for end in &job.ends {
                by_bucket.entry(bucket_of(end.key)).or_default().1.push(*end);
            }
        }
        let mut verdicts: HashMap<ClaimRequest, ClaimVerdict> = HashMap::new();
        for (bucket, (claims, ends)) in by_bucket {
            let outcome = self.write_bucket(bucket, &claims, &ends).await;
            if matches!(outcome, BatchOutcome::Unavailable | BatchOutcome::Unsettled) {
                let room = PENDING_ENDS_MAX.saturating_sub(self.pending_ends.len());
                self.pending_ends.extend(ends.into_iter().take(room));
            }
            for (index, claim) in claims.iter().enumerate() {
                verdicts.insert(*claim, outcome.verdict(index));
            }
        }
        for job in jobs {
            let answer = job
                .claims
                .iter()
                .map(|claim| verdicts.get(claim).copied().unwrap_or(ClaimVerdict::Unsettled))
                .collect();
            // A daemon that has given up on the reply asks another writer, with the same nonce.
            let _ = job.reply.send(answer);
        }
        let batches = self.batches;
        self.buckets
            .retain(|_, bucket| batches - bucket.used_at_batch < IDLE_BATCHES_MAX);
    }

    /// Appends one record and reads the stream until the record is found. An append whose answer was lost is
    /// looked for in the stream before it is retried. A second copy of a record has no effect.
    async fn write_bucket(
        &mut self,
        bucket: u64,
        claims: &[ClaimRequest],
        ends: &[ClaimEnd],
    ) -> BatchOutcome {
        let stream = format!("claims-{}-{bucket}", self.shard);
        let batch = ClaimBatch {
            id: rand::random(),
            claims: claims.to_vec(),
            ends: ends.to_vec(),
        };
        let record = batch.to_bytes();
        let entry = self.buckets.entry(bucket).or_default();
        entry.used_at_batch = self.batches;
        let deadline = Instant::now() + Duration::from_millis(SETTLE_LIMIT_MS);
        let mut may_be_recorded = false;
        while Instant::now() < deadline {
            let appended = self.platform.append(&stream, record.clone()).await;
            match &appended {
                Ok(_) => may_be_recorded = true,
                Err(error) => may_be_recorded |= error.may_have_taken_effect(),
            }
            if may_be_recorded {
                let until = appended.ok();
                if let Some(verdicts) =
                    read_back(&self.platform, &stream, &mut entry.fold, &batch, until, deadline).await
                {
                    return BatchOutcome::Known(verdicts);
                }
            }
            sleep(Duration::from_millis(RETRY_PAUSE_MS)).await;
        }
        if may_be_recorded {
            BatchOutcome::Unsettled
        } else {
            BatchOutcome::Unavailable
        }
    }
}

/// The outcome of a batch.
#[derive(Debug)]
enum BatchOutcome {
    Known(Vec<ClaimVerdict>),
    Unavailable,
    Unsettled,
}

impl BatchOutcome {
    fn verdict(&self, index: usize) -> ClaimVerdict {
        match self {
            Self::Known(verdicts) => verdicts[index],
            Self::Unavailable => ClaimVerdict::Unavailable,
            Self::Unsettled => ClaimVerdict::Unsettled,
        }
    }
}

/// Reads a stream until the batch's record is folded, and returns the verdicts of its claims.
///
/// If the record's offset is unknown, reads to the end of the stream once. Returns `None` if the record is
/// not found.
async fn read_back(
    platform: &PlatformClient,
    stream: &str,
    fold: &mut ClaimFold,
    batch: &ClaimBatch,
    offset: Option<u64>,
    deadline: Instant,
) -> Option<Vec<ClaimVerdict>> {
    let mut verdicts = None;
    while Instant::now() < deadline {
        let Ok(page) = platform.read(stream, fold.next_offset(), 0).await else {
            sleep(Duration::from_millis(RETRY_PAUSE_MS)).await;
            continue;
        };
        fold_page(fold, &page, batch, &mut verdicts);
        let at_end = fold.next_offset() >= page.next_offset;
        let past_record = offset.is_some_and(|offset| fold.next_offset() > offset);
        if verdicts.is_some() || past_record || (at_end && offset.is_none()) {
            break;
        }
    }
    verdicts
}

fn fold_page(
    fold: &mut ClaimFold,
    page: &LogPage,
    batch: &ClaimBatch,
    verdicts: &mut Option<Vec<ClaimVerdict>>,
) {
    fold.note_truncation(page.first_offset);
    for record in &page.records {
        // An invalid record has no effect on any reader.
        let read = ClaimBatch::parse(&record.data).ok();
        let records = read.as_ref().map(ClaimBatch::records).unwrap_or_default();
        fold.fold(record.offset, &records);
        if verdicts.is_none() && read.is_some_and(|read| read.id == batch.id) {
            *verdicts = Some(batch.claims.iter().map(|claim| verdict_of(fold, claim)).collect());
        }
    }
}

fn verdict_of(fold: &ClaimFold, claim: &ClaimRequest) -> ClaimVerdict {
    match fold.state(claim.key) {
        Some(ClaimState::Held(nonce)) if nonce == claim.nonce => ClaimVerdict::Held,
        Some(ClaimState::Ended(_, status)) if status != 0 => ClaimVerdict::Ended(status),
        Some(ClaimState::Held(_) | ClaimState::Ended(..)) | None => ClaimVerdict::InUse,
    }
}

fn bucket_of(key: ClaimKey) -> u64 {
    key.created_at_unix_ms() / BUCKET_MS
}
