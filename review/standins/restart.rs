//! Case: a planned restart while a client has commands behind one another on its connection.
mod common;
use common::*;
use std::collections::VecDeque;
use std::io::{BufReader, Write};
use std::sync::{Arc, Mutex};

fn main() {
    let record = Record::new();
    // Six sound cache nodes. Each answers in order, after 50 ms of work.
    let forwarded: Table<f64> = Table::default();
    let nodes: Vec<_> = (0..6)
        .map(|n| {
            let (record, forwarded) = (record.clone(), forwarded.clone());
            node(move |stream| {
                let mut reader = BufReader::new(stream.try_clone().unwrap());
                while let Some(request) = request(&mut reader) {
                    let at = record.add(format!("node {n} runs {}", request.id));
                    forwarded.lock().unwrap().insert(request.id.clone(), at);
                    sleep_ms(50);
                    let value = made_for(&request.key, &request.id);
                    if (&stream).write_all(&served(value.as_bytes(), "hit")).is_err() {
                        return;
                    }
                }
            })
        })
        .collect();
    let (mut proxy, _discovery) = Proxy::start(&Settings::default(), &nodes);

    // A client whose callers share one connection: a command every 15 ms, with the answers read as they come.
    let stream = proxy.connect();
    let open: Arc<Mutex<VecDeque<(String, f64)>>> = Arc::default();
    let wrong: Arc<Mutex<Vec<String>>> = Arc::default();
    let reading = {
        let (stream, open, record, wrong) =
            (stream.try_clone().unwrap(), open.clone(), record.clone(), wrong.clone());
        std::thread::spawn(move || {
            let mut reader = BufReader::new(stream);
            while let Some(answer) = answer(&mut reader) {
                let Some((id, _)) = open.lock().unwrap().pop_front() else {
                    wrong.lock().unwrap().push(format!("an answer without a request: {}", answer.text()));
                    return;
                };
                record.add(format!("client has the answer to {id}: {}", answer.text()));
            }
            record.add("client sees the end of the connection");
        })
    };
    let begin = record.ms();
    let (mut term_at, mut number) = (None, 0);
    let end = loop {
        if reading.is_finished() {
            break record.ms();
        }
        let now = record.ms();
        if term_at.is_none() && now >= begin + 2_000.0 {
            if trouble() {
                signal(proxy.child.id(), SIGTERM);
                record.add("SIGTERM to the proxy");
            }
            term_at = Some(now);
        }
        // SIGKILL comes no sooner than the longest deadline, 1 s, and 0.7 s more after SIGTERM.
        if term_at.is_some_and(|at| now >= at + 1_700.0) {
            if trouble() {
                signal(proxy.child.id(), SIGKILL);
                record.add("SIGKILL to the proxy");
            }
            break now;
        }
        number += 1;
        let (id, key) = (new_id(), pack(number % 200));
        let bytes = if number % 10 == 0 {
            set(&key, &id, "swap-record", 1_000, &new_id(), b"swapped")
        } else {
            get(&key, &id, "pack-lookup", 750)
        };
        open.lock().unwrap().push_back((id.clone(), now));
        if (&stream).write_all(&bytes).is_err() {
            open.lock().unwrap().pop_back();
            record.add("client can't send on the connection any more");
            break now;
        }
        record.add(format!("client sends {id}"));
        sleep_ms(15);
    };
    if !trouble() {
        // The last requests get their answers.
        sleep_ms(1_500);
        let _ = stream.shutdown(std::net::Shutdown::Both);
    }
    sleep_ms(300);
    let status = proxy.child.try_wait().ok().flatten();
    record.add(format!("the proxy's exit: {status:?}; end at {end:.0}"));
    let _ = stream.shutdown(std::net::Shutdown::Both);
    let _ = reading.join();
    // Only requests that a cache node has received count here: the proxy has read them for certain. One that it had not
    // read when it ended the connection is the client's to send once more.
    let forwarded = forwarded.lock().unwrap();
    let unanswered = open.lock().unwrap().clone();
    record.add(format!("{number} sent, {} without an answer at the end of the connection", unanswered.len()));
    let mut broken: Vec<String> = unanswered
        .iter()
        .filter_map(|(id, sent)| {
            let at = forwarded.get(id)?;
            Some(format!("{id}, sent at {sent:.0} ms, run by a cache node at {at:.0} ms, has no answer"))
        })
        .collect();
    broken.extend(wrong.lock().unwrap().drain(..));
    finish(&record, vec![proxy], if number < 100 { Err("too few requests".into()) } else { Ok(broken) })
}
