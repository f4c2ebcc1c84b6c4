//! Protocol versions of boxes, and the conversion of replies to RESP3: every reply form that the RESP3 specification
//! allows, with push messages in between.

use resp::{BlobKind, Frame, Protocol, Reply, ReplyKind, ReplyParser};

/// Behaviour of a box on `HELLO 3`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Speech {
    /// Replies with an error for an unknown command and continues in RESP2.
    #[default]
    Two,
    /// Closes the connection.
    Closes,
    /// Switches to RESP3.
    Three,
}

/// The reply to `HELLO 3`.
pub fn hello_reply() -> Vec<u8> {
    let text = |t: &str| Frame::bulk_string(t);
    let map = Frame::Map(vec![
        (text("server"), text("box")),
        (text("proto"), Frame::Integer(3)),
        (text("modules"), Frame::Array(Vec::new())),
    ]);
    encode(&map)
}

fn encode(frame: &Frame) -> Vec<u8> {
    let mut out = Vec::new();
    frame.write(Protocol::Three, &mut out);
    out
}

/// Returns a random push message.
fn push_message(rng: &mut fastrand::Rng) -> Vec<u8> {
    let kind = ["invalidate", "message"][rng.usize(..2)];
    let payload = Frame::Array(vec![Frame::bulk_string("*3\r\n$1\r\nx\r\n"), Frame::Null]);
    encode(&Frame::Push(vec![Frame::bulk_string(kind), payload]))
}

/// Converts a reply to a random one of its RESP3 forms, with a push message at each allowed position with probability
/// `pushes`. Bytes that are not exactly one reply are returned unchanged.
pub fn to_resp3(answer: Vec<u8>, pushes: f64, rng: &mut fastrand::Rng) -> Vec<u8> {
    let Ok((used, Some(reply))) = ReplyParser::default().feed(&answer) else { return answer };
    if used < answer.len() {
        return answer;
    }
    let parts = if reply.kind == ReplyKind::Served {
        served_parts(&reply, &answer, rng)
    } else {
        refused_parts(&answer, rng)
    };
    let mut out = Vec::new();
    for part in parts {
        if rng.f64() < pushes {
            out.extend(push_message(rng));
        }
        out.extend(part);
    }
    out
}

/// Splits a served reply into the parts between which push messages may occur.
fn served_parts(reply: &Reply, answer: &[u8], rng: &mut fastrand::Rng) -> Vec<Vec<u8>> {
    let value = &answer[reply.value.clone()];
    let optional = |text: &[u8]| if text.is_empty() { Frame::Null } else { Frame::bulk_string(text) };
    let (note, load) = (encode(&optional(&reply.note)), encode(&optional(&reply.load)));
    let plain = encode(&Frame::bulk_string(value));
    let verbatim = encode(&Frame::Blob(BlobKind::Verbatim(*b"txt"), value.to_vec()));
    let key = |name: &str| encode(&Frame::SimpleString(name.into()));
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

fn refused_parts(answer: &[u8], rng: &mut fastrand::Rng) -> Vec<Vec<u8>> {
    let text = answer.strip_prefix(b"-").and_then(|t| t.strip_suffix(b"\r\n"));
    match text {
        Some(text) if rng.bool() => vec![encode(&Frame::Blob(BlobKind::Error, text.to_vec()))],
        _ => vec![answer.to_vec()],
    }
}
