//! Long values, passed on to their clients while they come. Such a request is answered when the first part has
//! gone to its client: for the module it is over then, and nothing else can be sent to the client in its place.
//!
//! Guards against values that are longer than memory: no more of one is read than its client takes, and a node
//! that is held up by a slow client is held up by the kernel. Danger: a value that breaks off ends its client's
//! connection, since that is how a client can tell that it is not whole, and so ends what is pipelined behind it.

use crate::observers::{Final, Told};
use crate::request::Place;
use crate::Proxy;
use calicosaddle::api::RequestId;
use resp::{BodyFormat, Reply};
use rustc_hash::FxHashMap;

/// A value on its way.
#[derive(Debug)]
struct Value {
    place: Place,
    class: u32,
    /// The connection that it comes on.
    from: usize,
}

/// All values on their way.
#[derive(Debug, Default)]
pub struct Passing(FxHashMap<RequestId, Value>);

impl Passing {
    /// How many there are.
    pub fn len(&self) -> usize {
        self.0.len()
    }
}

impl Proxy {
    /// A value begins to come on a connection to a cache node. If its request is answered already, what comes is
    /// dropped.
    pub(crate) fn begun(&mut self, id: RequestId, from: usize, shape: BodyFormat, length: usize) {
        let Some((place, class)) = self.requests.answer(id) else { return };
        self.clients.begin(place, shape, length);
        self.passing.0.insert(id, Value { place, class, from });
    }

    /// A part of it has come.
    pub(crate) fn passed(&mut self, id: RequestId, bytes: &[u8]) {
        let Some(value) = self.passing.0.get(&id) else { return };
        if !self.clients.pass(value.place, bytes) {
            self.boxes.pause(value.from, id, true, self.turn.now);
        }
    }

    /// Its client has room for more.
    pub(crate) fn wanted(&mut self, id: RequestId) {
        if let Some(value) = self.passing.0.get(&id) {
            self.boxes.pause(value.from, id, false, self.turn.now);
        }
    }

    /// It is whole.
    pub(crate) fn passed_whole(&mut self, id: RequestId, reply: &Reply) {
        let Some(value) = self.passing.0.remove(&id) else { return };
        self.observers.tell(Told::Answered(Final::Served, value.class));
        self.clients.finish(value.place, reply);
    }

    /// Its node broke it off.
    pub(crate) fn cut(&mut self, id: RequestId) {
        let Some(value) = self.passing.0.remove(&id) else { return };
        self.observers.tell(Told::Answered(Final::Failed, value.class));
        self.clients.cut(value.place);
    }

    /// Its client is gone.
    pub(crate) fn no_longer_wanted(&mut self, id: RequestId) {
        let Some(value) = self.passing.0.remove(&id) else { return };
        self.observers.tell(Told::Abandoned);
        self.boxes.stop_passing(value.from, id);
    }
}
