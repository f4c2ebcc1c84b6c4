//! Observers: components that are notified of what happens to requests and do not influence it. They are listed in
//! [`Observers`] once, in the order in which they are notified.

use crate::metrics::Metrics;
use calicosaddle::api::ServerId;
use control::message::Counters;
use resp::Frame;

/// The final result of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FinalResult {
    /// A cache node served it.
    Served,
    /// It was refused; retrying is harmless.
    Refused,
    /// It failed; whether it took effect is unknown.
    Failed,
}

/// What observers are notified of.
#[derive(Debug)]
pub enum Notification<'a> {
    /// A read or write command arrived.
    Arrived,
    /// An attempt was started.
    Attempt,
    /// A request of this class got its final answer.
    Answered(FinalResult, u32),
    /// The client disconnected before its request was answered.
    Abandoned,
    /// Discovery delivered a list, either complete or with changes only.
    List,
    /// A cache node sent an out-of-band message: its kind first, such as `invalidate` or `message`, then its content.
    /// It is not forwarded to clients.
    Push(ServerId, &'a [Frame]),
}

/// Is notified of what happens to requests.
pub trait Observer {
    /// Handles a notification.
    fn notify(&mut self, notification: &Notification<'_>);
}

impl Observer for Counters {
    fn notify(&mut self, notification: &Notification<'_>) {
        *match notification {
            Notification::Arrived => &mut self.accepted,
            Notification::Attempt => &mut self.attempts,
            Notification::Answered(FinalResult::Served, _) => &mut self.served,
            Notification::Answered(FinalResult::Refused, _) => &mut self.refused,
            Notification::Answered(FinalResult::Failed, _) => &mut self.failed,
            Notification::Abandoned => &mut self.abandoned,
            Notification::List => &mut self.lists,
            Notification::Push(..) => &mut self.pushes,
        } += 1;
    }
}

/// Receives the messages that cache nodes push. It is called from the event loop, so it must not block.
pub trait Subscriber {
    /// Handles a message from a node: its kind first, such as `invalidate` or `message`.
    fn on_push(&mut self, server: ServerId, message: &[Frame]);
}

/// All observers.
#[derive(Default)]
pub struct Observers {
    /// Counters for the control endpoint.
    pub counters: Counters,
    /// Metrics by class for operators.
    pub metrics: Metrics,
    /// Receivers of pushed messages.
    pub subscribers: Vec<Box<dyn Subscriber>>,
}

impl Observers {
    /// Notifies all observers.
    pub fn notify(&mut self, notification: Notification<'_>) {
        self.counters.notify(&notification);
        self.metrics.notify(&notification);
        if let Notification::Push(server, message) = notification {
            self.subscribers.iter_mut().for_each(|s| s.on_push(server, message));
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn subscribers_receive_each_push_and_nothing_else() {
        struct Recorder(std::rc::Rc<std::cell::RefCell<Vec<(ServerId, Frame)>>>);
        impl Subscriber for Recorder {
            fn on_push(&mut self, server: ServerId, message: &[Frame]) {
                self.0.borrow_mut().extend(message.first().map(|f| (server, f.clone())));
            }
        }
        let received = std::rc::Rc::default();
        let mut observers = Observers::default();
        observers.subscribers.push(Box::new(Recorder(std::rc::Rc::clone(&received))));
        observers.notify(Notification::Arrived);
        observers.notify(Notification::Push(7, &[Frame::bulk_string("invalidate"), Frame::Null]));
        assert_eq!(*received.borrow(), [(7, Frame::bulk_string("invalidate"))]);
        assert_eq!((observers.counters.accepted, observers.counters.pushes), (1, 1));
    }
}
