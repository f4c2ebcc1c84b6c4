//! What a box speaks, and how one that speaks RESP3 dresses its answers: after the RESP3 specification, in each of
//! the forms that an answer may have, with pushes in between.

use resp::{BlobKind, Frame, Protocol, Reply, ReplyKind, ReplyParser};

/// What a box does with `HELLO 3`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Speech {
    /// It knows no such command, and goes on in RESP2.
    #[default]
    Two,
    /// It ends the connection.
    Closes,
    /// It goes on in RESP3.
    Three,
}

/// The answer to `HELLO 3`.
pub fn hello() -> Vec<u8> {
    let text = |t: &str| Frame::bulk_string(t);
    let map = Frame::Map(vec![
        (text("server"), text("box")),
        (text("proto"), Frame::Integer(3)),
        (text("modules"), Frame::Array(Vec::new())),
    ]);
    encoded(&map)
}

fn encoded(frame: &Frame) -> Vec<u8> {
    let mut out = Vec::new();
    frame.write(Protocol::Three, &mut out);
    out
}

/// A push.
fn push(rng: &mut fastrand::Rng) -> Vec<u8> {
    let kind = ["invalidate", "message"][rng.usize(..2)];
    let told = Frame::Array(vec![Frame::bulk_string("*3\r\n$1\r\nx\r\n"), Frame::Null]);
    encoded(&Frame::Push(vec![Frame::bulk_string(kind), told]))
}

/// The same answer in RESP3, in one of its forms, with a push at a place where one may stand for a part of them.
/// What is no answer stays as it is.
pub fn dressed(answer: Vec<u8>, pushes: f64, rng: &mut fastrand::Rng) -> Vec<u8> {
    let Ok((used, Some(reply))) = ReplyParser::default().feed(&answer) else { return answer };
    if used < answer.len() {
        return answer;
    }
    let parts =
        if reply.kind == ReplyKind::Served { served(&reply, &answer, rng) } else { refused(&answer, rng) };
    let mut out = Vec::new();
    for part in parts {
        if rng.f64() < pushes {
            out.extend(push(rng));
        }
        out.extend(part);
    }
    out
}

/// The pieces of an answer between which a push may stand.
fn served(reply: &Reply, answer: &[u8], rng: &mut fastrand::Rng) -> Vec<Vec<u8>> {
    let value = &answer[reply.value.clone()];
    let told = |text: &[u8]| if text.is_empty() { Frame::Null } else { Frame::bulk_string(text) };
    let (note, load) = (encoded(&told(&reply.note)), encoded(&told(&reply.load)));
    let plain = encoded(&Frame::bulk_string(value));
    let verbatim = encoded(&Frame::Blob(BlobKind::Verbatim(*b"txt"), value.to_vec()));
    let key = |name: &str| encoded(&Frame::SimpleString(name.into()));
    match rng.u8(..5) {
        0 => vec![b"*3\r\n".to_vec(), plain, note, load],
        1 => vec![b"*?\r\n".to_vec(), verbatim, note, load, b".\r\n".to_vec()],
        2 => {
            let named = [key("value"), plain, key("note"), note, key("load"), load];
            [vec![b"%3\r\n".to_vec()], named.to_vec()].concat()
        }
        3 => vec![b"|2\r\n".to_vec(), key("note"), note, key("load"), load, plain],
        _ => {
            let (head, tail) = value.split_at(value.len() / 2);
            let chunk = |part: &[u8]| [format!(";{}\r\n", part.len()).as_bytes(), part, b"\r\n"].concat();
            let chunks = [head, tail].into_iter().filter(|p| !p.is_empty()).map(chunk);
            let string: Vec<Vec<u8>> =
                std::iter::once(b"$?\r\n".to_vec()).chain(chunks).chain([b";0\r\n".to_vec()]).collect();
            [vec![b"*3\r\n".to_vec()], string, vec![note, load]].concat()
        }
    }
}

fn refused(answer: &[u8], rng: &mut fastrand::Rng) -> Vec<Vec<u8>> {
    let text = answer.strip_prefix(b"-").and_then(|t| t.strip_suffix(b"\r\n"));
    match text {
        Some(text) if rng.bool() => vec![encoded(&Frame::Blob(BlobKind::Error, text.to_vec()))],
        _ => vec![answer.to_vec()],
    }
}
