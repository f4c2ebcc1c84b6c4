//! The slow origin shared by all boxes, with a record of the effects of writes.

use super::{lock, Clock};
use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::Semaphore;

/// Maximum number of waiting or active requests; further ones are rejected.
const MAX_WAITING_REQUESTS: usize = 2_000;
/// How long a repeated write with the same idempotency key has no effect.
const DEDUP_WINDOW: Duration = Duration::from_secs(1);

/// Keys cached by a box, each with the version of its record.
pub type Cache = Arc<Mutex<HashMap<u64, u64>>>;

#[derive(Debug, Default)]
struct State {
    versions: HashMap<u64, u64>,
    /// Time of the last effect and number of effects by idempotency key.
    effects: HashMap<String, (Duration, u32)>,
    fetches: u64,
    rejected: u64,
}

/// The origin of all cached records.
#[derive(Debug)]
pub struct Origin {
    clock: Clock,
    slots: Semaphore,
    processing_time: Duration,
    stopped: tokio::sync::watch::Sender<bool>,
    waiting: std::sync::atomic::AtomicUsize,
    caches: Mutex<Vec<Cache>>,
    state: Mutex<State>,
}

impl Origin {
    /// Creates an origin that processes `slots` requests concurrently, each in the time `processing_time`.
    pub fn new(clock: Clock, slots: usize, processing_time: Duration) -> Self {
        Origin {
            clock,
            slots: Semaphore::new(slots),
            processing_time,
            stopped: tokio::sync::watch::Sender::new(false),
            waiting: 0.into(),
            caches: Mutex::default(),
            state: Mutex::default(),
        }
    }

    /// Sets the caches in which a write invalidates its key.
    pub fn caches(&self, caches: Vec<Cache>) {
        *lock(&self.caches) = caches;
    }

    /// Stops or resumes processing.
    pub fn stop(&self, stopped: bool) {
        self.stopped.send_replace(stopped);
    }

    /// Waits for a free slot and for the processing time; returns false if too many requests are waiting.
    async fn work(&self) -> bool {
        use std::sync::atomic::Ordering::Relaxed;
        if self.waiting.load(Relaxed) >= MAX_WAITING_REQUESTS {
            lock(&self.state).rejected += 1;
            return false;
        }
        self.waiting.fetch_add(1, Relaxed);
        let waiting = WaitingRequest(&self.waiting);
        let slot = self.slots.acquire().await;
        let _ = self.stopped.subscribe().wait_for(|s| !s).await;
        tokio::time::sleep(self.processing_time).await;
        drop((slot, waiting));
        true
    }

    /// Returns the version of a key's record; `None` if the request is rejected.
    pub async fn fetch(&self, key: u64) -> Option<u64> {
        if !self.work().await {
            return None;
        }
        let mut state = lock(&self.state);
        state.fetches += 1;
        Some(state.versions.get(&key).copied().unwrap_or(0))
    }

    /// Writes a key and returns its version; `None` if the request is rejected. A repeat within the deduplication window
    /// has no effect.
    pub async fn write(&self, key: u64, idempotency: &str) -> Option<u64> {
        if !self.work().await {
            return None;
        }
        let now = self.clock.now();
        let mut state = lock(&self.state);
        let version = state.versions.get(&key).copied().unwrap_or(0);
        let effect = state.effects.entry(idempotency.to_owned()).or_insert((Duration::ZERO, 0));
        if effect.1 > 0 && now < effect.0 + DEDUP_WINDOW {
            return Some(version);
        }
        *effect = (now, effect.1 + 1);
        state.versions.insert(key, version + 1);
        drop(state);
        lock(&self.caches).iter().for_each(|c| {
            lock(c).remove(&key);
        });
        Some(version + 1)
    }

    /// Returns the number of effects of each idempotency key.
    pub fn effects(&self) -> HashMap<String, u32> {
        lock(&self.state).effects.iter().map(|(k, (_, n))| (k.clone(), *n)).collect()
    }

    /// Returns the numbers of served fetches and of rejected requests.
    pub fn counts(&self) -> (u64, u64) {
        let state = lock(&self.state);
        (state.fetches, state.rejected)
    }
}

/// Decrements the number of waiting requests on drop, also when the request is cancelled.
struct WaitingRequest<'a>(&'a std::sync::atomic::AtomicUsize);

impl Drop for WaitingRequest<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, std::sync::atomic::Ordering::Relaxed);
    }
}
