//! A simulated engine: requests wait for a slot, are prefilled one after the other, and generate concurrently.

use std::collections::HashMap;
use std::collections::VecDeque;

use reedsail_dispatch::Prompt;

use crate::EngineSpeed;

/// A request that an engine runs or queues.
#[derive(Clone, Debug)]
pub(crate) struct Job {
    /// The fleet's number of the request.
    pub(crate) number: u64,
    pub(crate) prompt: Prompt,
    /// Whether its shared segments are transferred from another engine.
    pub(crate) is_transferred: bool,
}

/// The times of the first event and of the end of a request that got a slot, in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Started {
    pub(crate) number: u64,
    pub(crate) first_event_us: u64,
    pub(crate) end_us: u64,
}

/// A simulated engine.
#[derive(Debug)]
pub(crate) struct Engine {
    speed: EngineSpeed,
    waiting: VecDeque<Job>,
    running: u32,
    prefill_free_us: u64,
    /// Time until which each segment is cached, in microseconds.
    cached_until_us: HashMap<u64, u64>,
}

impl Engine {
    pub(crate) fn new(speed: EngineSpeed) -> Self {
        Self {
            speed,
            waiting: VecDeque::new(),
            running: 0,
            prefill_free_us: 0,
            cached_until_us: HashMap::new(),
        }
    }

    /// Accepts a request. It starts immediately if a slot is free, and waits otherwise.
    pub(crate) fn accept(&mut self, job: Job, now_us: u64) -> Option<Started> {
        if self.running < self.speed.slots {
            return Some(self.start(&job, now_us));
        }
        self.waiting.push_back(job);
        None
    }

    /// Frees the slot of a request that ended, and starts the next waiting request.
    pub(crate) fn end(&mut self, now_us: u64) -> Option<Started> {
        self.running -= 1;
        let job = self.waiting.pop_front()?;
        Some(self.start(&job, now_us))
    }

    fn start(&mut self, job: &Job, now_us: u64) -> Started {
        self.running += 1;
        let tokens = self.tokens_to_prefill(job, now_us);
        let prefill_us = (f64::from(tokens) / self.speed.prefill_tokens_per_ms * 1_000.0) as u64;
        self.prefill_free_us = self.prefill_free_us.max(now_us) + prefill_us;
        let first_event_us = self.prefill_free_us + (self.speed.base_ms * 1_000.0) as u64;
        let running = f64::from(self.running - 1);
        let token_ms = self.speed.token_ms + self.speed.token_ms_per_running * running;
        let generate_us = (f64::from(job.prompt.output_tokens) * token_ms * 1_000.0) as u64;
        Started {
            number: job.number,
            first_event_us,
            end_us: first_event_us + generate_us,
        }
    }

    /// Returns the number of a prompt's tokens that are not cached, and caches its shared segments. A cached segment
    /// saves prefill only if all segments before it are cached as well.
    fn tokens_to_prefill(&mut self, job: &Job, now_us: u64) -> u32 {
        let until_us = now_us + self.speed.cache_ttl_ms * 1_000;
        let mut is_cached = true;
        let mut tokens = 0;
        let own_index = job.prompt.segments.len() - 1;
        for (index, segment) in job.prompt.segments.iter().enumerate() {
            let segment_until_us = self.cached_until_us.get(&segment.id);
            let is_unexpired = segment_until_us.is_some_and(|until_us| *until_us > now_us);
            is_cached &= index < own_index && (is_unexpired || job.is_transferred);
            if !is_cached {
                tokens += segment.tokens;
            }
            if index < own_index {
                self.cached_until_us.insert(segment.id, until_us);
            }
        }
        tokens
    }
}
