//! A subscription to discovery whose updates arrive without further calls, as in the simulator and the model.

use crate::{Nanos, PollConfig, PollScheduler};
use calicosaddle::api::{Action, Event, ListKind, Settings};

/// Token of the subscription's timer, distinct from the tokens of the balancer.
const TIMER_TOKEN: u64 = 2 << 56;

/// Subscribes to server lists on behalf of a balancer whose settings require polling for them, and again after each
/// failure.
#[derive(Debug)]
pub struct Subscription {
    /// The scheduler's configuration and seed, until the cached list starts it.
    pending: Option<(PollConfig, u64)>,
    /// `None` before the cached list, or if the settings require no polling.
    scheduler: Option<PollScheduler>,
    subscribed: bool,
}

impl Subscription {
    /// The subscription of a process that has received no list yet.
    pub fn new(settings: &Settings, seed: u64) -> Self {
        let pending = settings.poll_discovery.then(|| (PollConfig::from(settings), seed));
        Subscription { pending, scheduler: None, subscribed: false }
    }

    /// Handles an event that the balancer gets too, and appends the resulting actions. The cached list, which is the
    /// first list of a process, starts the scheduler; other events before it are ignored.
    pub fn handle(&mut self, now: Nanos, event: &Event, actions: &mut Vec<Action>) {
        if let Event::ServerList { kind: ListKind::Cached, .. } = event {
            self.scheduler = self.pending.take().map(|(config, seed)| PollScheduler::new(config, seed, now));
        }
        let Some(scheduler) = &mut self.scheduler else { return };
        match event {
            Event::ServerList { kind: ListKind::Failed, .. } => {
                self.subscribed = false;
                scheduler.poll_failed(now);
            }
            Event::ServerList { kind: ListKind::Cached, .. } => {}
            Event::ServerList { .. } if !self.subscribed => {
                // Updates arrive by themselves from now on, so no watch has to begin.
                self.subscribed = true;
                scheduler.list_received(now, true);
                return;
            }
            Event::Timer(TIMER_TOKEN) if !self.subscribed && scheduler.start_if_due(now) => {
                actions.push(Action::Subscribe);
            }
            _ => return,
        }
        let delay = scheduler.next_wakeup().saturating_sub(now);
        actions.push(Action::Timer { token: TIMER_TOKEN, delay });
    }
}
