//! The slow origin that all boxes share, and the effects of writes.

use super::{lock, Clock};
use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::Semaphore;

/// Fetches that wait at once before more are turned away.
const QUEUE: usize = 2_000;
/// A repeat of a keyed write is dropped for so long.
const WINDOW: Duration = Duration::from_secs(1);

/// The keys that a box keeps, each with the version of its record.
pub type Cache = Arc<Mutex<HashMap<u64, u64>>>;

#[derive(Debug, Default)]
struct Books {
    versions: HashMap<u64, u64>,
    /// By idempotency key: when it took effect last, and how often it did.
    effects: HashMap<String, (Duration, u32)>,
    fetches: u64,
    turned_away: u64,
}

/// The origin.
#[derive(Debug)]
pub struct Origin {
    clock: Clock,
    places: Semaphore,
    takes: Duration,
    stopped: tokio::sync::watch::Sender<bool>,
    waiting: std::sync::atomic::AtomicUsize,
    caches: Mutex<Vec<Cache>>,
    books: Mutex<Books>,
}

impl Origin {
    /// Works on so many fetches at once, each of which takes so long.
    pub fn new(clock: Clock, places: usize, takes: Duration) -> Self {
        Origin {
            clock,
            places: Semaphore::new(places),
            takes,
            stopped: tokio::sync::watch::Sender::new(false),
            waiting: 0.into(),
            caches: Mutex::default(),
            books: Mutex::default(),
        }
    }

    /// The caches that a write empties of its key.
    pub fn caches(&self, caches: Vec<Cache>) {
        *lock(&self.caches) = caches;
    }

    /// Stops it, or has it go on.
    pub fn stop(&self, stopped: bool) {
        self.stopped.send_replace(stopped);
    }

    /// Waits for a place and for the work; false if too many wait.
    async fn work(&self) -> bool {
        use std::sync::atomic::Ordering::Relaxed;
        if self.waiting.load(Relaxed) >= QUEUE {
            lock(&self.books).turned_away += 1;
            return false;
        }
        self.waiting.fetch_add(1, Relaxed);
        let left = Waiting(&self.waiting);
        let place = self.places.acquire().await;
        let _ = self.stopped.subscribe().wait_for(|s| !s).await;
        tokio::time::sleep(self.takes).await;
        drop((place, left));
        true
    }

    /// The version of a key's record; nothing where the origin fails.
    pub async fn fetch(&self, key: u64) -> Option<u64> {
        if !self.work().await {
            return None;
        }
        let mut books = lock(&self.books);
        books.fetches += 1;
        Some(books.versions.get(&key).copied().unwrap_or(0))
    }

    /// Writes; a repeat within the window has no effect. The version, or nothing where the origin fails.
    pub async fn write(&self, key: u64, idempotency: &str) -> Option<u64> {
        if !self.work().await {
            return None;
        }
        let now = self.clock.now();
        let mut books = lock(&self.books);
        let version = books.versions.get(&key).copied().unwrap_or(0);
        let effect = books.effects.entry(idempotency.to_owned()).or_insert((Duration::ZERO, 0));
        if effect.1 > 0 && now < effect.0 + WINDOW {
            return Some(version);
        }
        *effect = (now, effect.1 + 1);
        books.versions.insert(key, version + 1);
        drop(books);
        lock(&self.caches).iter().for_each(|c| {
            lock(c).remove(&key);
        });
        Some(version + 1)
    }

    /// How often each idempotency key took effect.
    pub fn effects(&self) -> HashMap<String, u32> {
        lock(&self.books).effects.iter().map(|(k, (_, n))| (k.clone(), *n)).collect()
    }

    /// Fetches served, and requests turned away.
    pub fn counts(&self) -> (u64, u64) {
        let books = lock(&self.books);
        (books.fetches, books.turned_away)
    }
}

/// Counts itself out when it is dropped, also where its request is called off.
struct Waiting<'a>(&'a std::sync::atomic::AtomicUsize);

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, std::sync::atomic::Ordering::Relaxed);
    }
}
