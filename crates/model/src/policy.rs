//! What decides: the shipped module, or something to compare it with, by the module's own interface.

use calicosaddle::api::{Action, Event, Nanos, ServerId, Settings};
use calicosaddle::Balancer;
use freshness::Subscription;

/// The state of the boxes as it is, which nobody knows outside a model.
pub trait Truth {
    /// How long a request that came to this box now would wait and be worked on; nothing if it would not be served.
    fn wait(&self, server: ServerId) -> Option<Nanos>;
}

/// A decision module: events in, actions out.
pub trait Policy {
    /// Takes one event and appends the actions it calls for.
    fn handle(&mut self, now: Nanos, event: Event, truth: &dyn Truth, actions: &mut Vec<Action>);

    /// How many listed boxes it leaves alone now, where it can say so.
    fn avoided(&self, _: Nanos) -> usize {
        0
    }
}

/// The shipped module, and what follows the list for it.
pub struct Shipped {
    brain: Balancer,
    stream: Subscription,
}

impl Shipped {
    /// A process that begins at the first event; nothing learned.
    pub fn new(settings: &Settings, seed: u64) -> Self {
        Shipped { brain: Balancer::new(settings.clone(), seed), stream: Subscription::new(settings, seed) }
    }
}

impl Policy for Shipped {
    fn handle(&mut self, now: Nanos, event: Event, _: &dyn Truth, actions: &mut Vec<Action>) {
        self.stream.handle(now, &event, actions);
        self.brain.handle(now, event, actions);
    }

    fn avoided(&self, now: Nanos) -> usize {
        self.brain.unavailable_servers(now)
    }
}
