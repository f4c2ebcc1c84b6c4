//! Zones, the way between them, and cuts.

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
    /// All links whole.
    pub fn new(zones: usize, distance: Duration) -> Self {
        let cut = (0..zones * zones).map(|_| watch::Sender::new(false)).collect();
        Network { zones, distance, cut }
    }

    /// How many zones there are.
    pub fn zones(&self) -> usize {
        self.zones
    }

    /// One way between two zones.
    pub fn distance(&self, from: usize, to: usize) -> Duration {
        if from == to {
            Duration::ZERO
        } else {
            self.distance
        }
    }

    /// Cuts a zone off from all others, or mends that. What is under way over its links stops where it is.
    pub fn cut(&self, zone: usize, cut: bool) {
        for other in (0..self.zones).filter(|z| *z != zone) {
            self.link(zone, other).send_replace(cut);
            self.link(other, zone).send_replace(cut);
        }
    }

    fn link(&self, from: usize, to: usize) -> &watch::Sender<bool> {
        &self.cut[from * self.zones + to]
    }

    /// Waits until the link is whole.
    pub async fn whole(&self, from: usize, to: usize) {
        let mut cut = self.link(from, to).subscribe();
        // The sender lives as long as the network.
        let _ = cut.wait_for(|cut| !cut).await;
    }
}
