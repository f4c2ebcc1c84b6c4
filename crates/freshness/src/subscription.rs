//! A subscription that goes on by itself: in the simulator and the model changes arrive unasked once it has begun.

use crate::{Nanos, PollConfig, PollScheduler};
use calicosaddle::api::{Action, Event, ListKind, Settings};

/// Tokens of timers that are not the module's own.
const TOKEN: u64 = 2 << 56;

/// Subscribes for a module whose settings say that lists must be asked for, and again whenever that fails.
#[derive(Debug)]
pub struct Subscription {
    /// What is followed from the first list on, which is the one that was known before.
    begins: Option<(PollConfig, u64)>,
    follower: Option<PollScheduler>,
    subscribed: bool,
}

impl Subscription {
    /// A process that has heard nothing yet.
    pub fn new(settings: &Settings, seed: u64) -> Self {
        let begins = settings.poll_discovery.then(|| (PollConfig::from(settings), seed));
        Subscription { begins, follower: None, subscribed: false }
    }

    /// Looks at an event that is also the module's; what it calls for is appended.
    pub fn handle(&mut self, now: Nanos, event: &Event, actions: &mut Vec<Action>) {
        if let Event::ServerList { kind: ListKind::Cached, .. } = event {
            self.follower = self.begins.take().map(|(terms, seed)| PollScheduler::new(terms, seed, now));
        }
        let Some(follower) = &mut self.follower else { return };
        match event {
            Event::ServerList { kind: ListKind::Failed, .. } => {
                self.subscribed = false;
                follower.poll_failed(now);
            }
            Event::ServerList { kind: ListKind::Cached, .. } => {}
            Event::ServerList { .. } if !self.subscribed => {
                // Changes come from now on, whatever their number: no call is to wait for them.
                self.subscribed = true;
                follower.list_received(now, true);
                return;
            }
            Event::Timer(TOKEN) if !self.subscribed && follower.start_if_due(now) => {
                actions.push(Action::Subscribe)
            }
            _ => return,
        }
        actions.push(Action::Timer { token: TOKEN, delay: follower.next_wakeup().saturating_sub(now) });
    }
}
