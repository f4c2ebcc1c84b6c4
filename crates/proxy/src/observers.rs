//! The path of a request: the gates that an arrival passes before the module hears of it, and the observers
//! that are told what became of it. Each is listed here once, in the order in which it acts; one that is
//! switched off is `None` and costs a branch.

use crate::metrics::Figures;
use crate::request::Query;
use calicosaddle::api::ServerId;
use control::message::Counters;
use resp::Frame;

/// Requests open at once; each takes about a kilobyte.
const MAX_OPEN: usize = 8_192;

/// The final answer of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Final {
    /// A cache node served it.
    Served,
    /// It was turned away; trying again is harmless.
    Refused,
    /// It failed; nothing is promised.
    Failed,
}

/// What a gate says of an arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It goes on.
    Pass,
    /// It is refused: nothing has been done for it.
    Refuse,
}

/// May refuse an arrival before the module sees it. Untouched, an arrival may always be refused.
pub trait Gate {
    /// Judges an arrival while so many requests are open.
    fn judge(&mut self, query: &Query, open: usize) -> Verdict;
}

/// No more requests are open than there is room for.
#[derive(Debug)]
pub struct Room {
    most: usize,
}

impl Gate for Room {
    fn judge(&mut self, _: &Query, open: usize) -> Verdict {
        if open < self.most {
            Verdict::Pass
        } else {
            Verdict::Refuse
        }
    }
}

/// All gates.
#[derive(Debug)]
pub struct Gates {
    room: Room,
}

impl Gates {
    /// The gates of a configuration.
    pub fn new(max_open: usize) -> Self {
        Gates { room: Room { most: max_open.min(MAX_OPEN) } }
    }

    /// Leads an arrival through, up to the first gate that refuses it.
    pub fn judge(&mut self, query: &Query, open: usize) -> Verdict {
        self.room.judge(query, open)
    }
}

/// What observers are told.
#[derive(Debug)]
pub enum Told<'a> {
    /// A command that asks for something has come.
    Arrived,
    /// An attempt was begun.
    Attempt,
    /// The final answer was given to a request of this class.
    Answered(Final, u32),
    /// The client is gone, and nothing can be answered.
    Abandoned,
    /// Discovery told a list, whole or changes only.
    List,
    /// A cache node told something that nobody asked for: its kind first, as `invalidate` or `message`, and what
    /// it tells. Clients are not told.
    Push(ServerId, &'a [Frame]),
}

/// Is told what happens to requests, and answers nothing.
pub trait Observer {
    /// Hears of it.
    fn tell(&mut self, told: &Told<'_>);
}

impl Observer for Counters {
    fn tell(&mut self, told: &Told<'_>) {
        *match told {
            Told::Arrived => &mut self.accepted,
            Told::Attempt => &mut self.attempts,
            Told::Answered(Final::Served, _) => &mut self.served,
            Told::Answered(Final::Refused, _) => &mut self.refused,
            Told::Answered(Final::Failed, _) => &mut self.failed,
            Told::Abandoned => &mut self.abandoned,
            Told::List => &mut self.lists,
            Told::Push(..) => &mut self.pushes,
        } += 1;
    }
}

/// Wants to know what cache nodes push. It is told in the loop, so it must not wait for anything.
pub trait Subscriber {
    /// A node told this: its kind first, as `invalidate` or `message`.
    fn pushed(&mut self, server: ServerId, told: &[Frame]);
}

/// All observers.
#[derive(Default)]
pub struct Observers {
    /// Counts, for controllers.
    pub counters: Counters,
    /// Counts by class, for operators.
    pub figures: Figures,
    /// Those that want to know of pushes.
    pub subscribers: Vec<Box<dyn Subscriber>>,
}

impl Observers {
    /// Tells them all.
    pub fn tell(&mut self, told: Told<'_>) {
        self.counters.tell(&told);
        self.figures.tell(&told);
        if let Told::Push(server, told) = told {
            self.subscribers.iter_mut().for_each(|s| s.pushed(server, told));
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::platform::config::tests::sample;
    use crate::request::tests::query;

    #[test]
    fn subscribers_hear_each_push_and_nothing_else() {
        struct Heard(std::rc::Rc<std::cell::RefCell<Vec<(ServerId, Frame)>>>);
        impl Subscriber for Heard {
            fn pushed(&mut self, server: ServerId, told: &[Frame]) {
                self.0.borrow_mut().extend(told.first().map(|f| (server, f.clone())));
            }
        }
        let heard = std::rc::Rc::default();
        let mut observers = Observers::default();
        observers.subscribers.push(Box::new(Heard(std::rc::Rc::clone(&heard))));
        observers.tell(Told::Arrived);
        observers.tell(Told::Push(7, &[Frame::bulk_string("invalidate"), Frame::Null]));
        assert_eq!(*heard.borrow(), [(7, Frame::bulk_string("invalidate"))]);
        assert_eq!((observers.counters.accepted, observers.counters.pushes), (1, 1));
    }

    #[test]
    fn an_arrival_past_the_room_is_refused() {
        let query = query(&sample());
        for (room, open, verdict) in [
            (2, 1, Verdict::Pass),
            (2, 2, Verdict::Refuse),
            (usize::MAX, MAX_OPEN - 1, Verdict::Pass),
            (usize::MAX, MAX_OPEN, Verdict::Refuse),
        ] {
            assert_eq!(Gates::new(room).judge(&query, open), verdict, "{open} of {room}");
        }
    }
}
