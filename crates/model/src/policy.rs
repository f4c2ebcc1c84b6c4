//! The interface of load-balancing policies: that of the shipped balancer, which baseline policies implement as well.

use calicosaddle::api::{Action, Event, Nanos, ServerId, Settings};
use calicosaddle::Balancer;
use freshness::Subscription;

/// The true state of the boxes, which only a simulation can know.
pub trait Truth {
    /// Time from sending a request to this box now to its answer; `None` if it would not be served.
    fn wait(&self, server: ServerId) -> Option<Nanos>;
}

/// A load-balancing policy: receives events and returns actions.
pub trait Policy {
    /// Handles one event and appends the resulting actions.
    fn handle(&mut self, now: Nanos, event: Event, truth: &dyn Truth, actions: &mut Vec<Action>);

    /// Number of listed boxes that receive no traffic now, if the policy tracks this; otherwise 0.
    fn avoided(&self, _: Nanos) -> usize {
        0
    }
}

/// The shipped balancer with its discovery subscription.
pub struct Shipped {
    balancer: Balancer,
    subscription: Subscription,
}

impl Shipped {
    /// A balancer in its initial state.
    pub fn new(settings: &Settings, seed: u64) -> Self {
        Shipped {
            balancer: Balancer::new(settings.clone(), seed),
            subscription: Subscription::new(settings, seed),
        }
    }
}

impl Policy for Shipped {
    fn handle(&mut self, now: Nanos, event: Event, _: &dyn Truth, actions: &mut Vec<Action>) {
        self.subscription.handle(now, &event, actions);
        self.balancer.handle(now, event, actions);
    }

    fn avoided(&self, now: Nanos) -> usize {
        self.balancer.unavailable_servers(now)
    }
}
