//! Network between zones: delays and partitions.

use std::time::Duration;
use tokio::sync::watch;

/// The links between all pairs of zones.
#[derive(Debug)]
pub struct Network {
    zones: usize,
    distance: Duration,
    cut: Vec<watch::Sender<bool>>,
}

impl Network {
    /// Creates a network without partitions.
    pub fn new(zones: usize, distance: Duration) -> Self {
        let cut = (0..zones * zones).map(|_| watch::Sender::new(false)).collect();
        Network { zones, distance, cut }
    }

    /// Number of zones.
    pub fn zones(&self) -> usize {
        self.zones
    }

    /// One-way delay between two zones.
    pub fn distance(&self, from: usize, to: usize) -> Duration {
        if from == to {
            Duration::ZERO
        } else {
            self.distance
        }
    }

    /// Partitions a zone from all others, or ends the partition. Data in transit is delivered after the partition ends.
    pub fn cut(&self, zone: usize, cut: bool) {
        for other in (0..self.zones).filter(|z| *z != zone) {
            self.link(zone, other).send_replace(cut);
            self.link(other, zone).send_replace(cut);
        }
    }

    fn link(&self, from: usize, to: usize) -> &watch::Sender<bool> {
        &self.cut[from * self.zones + to]
    }

    /// Waits until the link is not cut.
    pub async fn whole(&self, from: usize, to: usize) {
        let mut cut = self.link(from, to).subscribe();
        // The wait cannot fail: the sender lives as long as the network.
        let _ = cut.wait_for(|cut| !cut).await;
    }
}
