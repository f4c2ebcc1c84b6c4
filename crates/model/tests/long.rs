//! The balancer's memory does not grow over half an hour of rolling restarts in virtual time. This is the only test in
//! this program because it counts the allocations of the whole process.

use calicosaddle::api::{Action, Event, Nanos};
use model::{make, run_with, Options, Policy, Scenario, Truth};
use peak_alloc::PeakAlloc;
use std::cell::RefCell;
use std::mem::size_of_val;
use std::rc::Rc;

#[global_allocator]
static ALLOCATED: PeakAlloc = PeakAlloc;

const MINUTE: Nanos = 60_000_000_000;

/// Wraps the balancer and tracks the bytes it holds: allocations during its calls, corrected for the memory passed to it.
struct MemoryTracked {
    inner: Box<dyn Policy>,
    held: isize,
    by_minute: Rc<RefCell<Vec<isize>>>,
}

impl Policy for MemoryTracked {
    fn handle(&mut self, now: Nanos, event: Event, truth: &dyn Truth, actions: &mut Vec<Action>) {
        let given = match &event {
            Event::ServerList { entries, .. } => size_of_val(&entries[..]) as isize,
            _ => 0,
        };
        // The action buffer belongs to the caller, so its capacity is reserved before measuring.
        actions.reserve(1_024);
        let before = ALLOCATED.current_usage() as isize;
        self.inner.handle(now, event, truth, actions);
        self.held += ALLOCATED.current_usage() as isize - before + given;
        let mut minutes = self.by_minute.borrow_mut();
        let minute = (now / MINUTE) as usize;
        if minutes.len() <= minute {
            minutes.resize(minute + 1, 0);
        }
        minutes[minute] = minutes[minute].max(self.held);
    }
}

#[test]
fn memory_after_half_an_hour_of_rolling_restarts_is_at_most_a_tenth_above_the_first_ten_minutes() {
    let rolls: String = (0..58)
        .map(|i| format!("[[faults]]\nat_s = {}\nlasts_s = 25\nkind = 'roll'\nboxes = 1.0\n", 10 + 30 * i))
        .collect();
    let text = format!(
        "version = 1\nname = 'long'\nguards = 'memory'\nduration_s = 1800\nwarm_s = 2\n[topology]\nproxies = 1\n\
         [traffic]\nrate = 40\nkeys = 1000000\nzipf = 0.2\n{rolls}"
    );
    let scenario = Scenario::read(&text).unwrap_or_else(|e| panic!("{e:?}"));
    let by_minute = Rc::new(RefCell::new(Vec::new()));
    let minutes = by_minute.clone();
    let s = run_with(&scenario, "weighed", 5, Options::default(), &|_, settings, seed| {
        let before = ALLOCATED.current_usage() as isize;
        let inner = make("shipped", settings, seed).expect("it ships");
        let held = ALLOCATED.current_usage() as isize - before;
        Box::new(MemoryTracked { inner, held, by_minute: minutes.clone() })
    });
    assert!(s.asked > 60_000 && s.share() > 0.9 && s.breaches.is_empty(), "{}: {:?}", s.share(), s.breaches);
    let minutes = by_minute.borrow();
    let most = |from: usize, to: usize| minutes[from..to].iter().copied().max().unwrap_or_default();
    let (early, late) = (most(0, 10), most(20, 30));
    assert!(early > 1_000 && late <= early + early / 10, "bytes held by the minute: {minutes:?}");
}
