//! Sessions of an unmodified, common Redis client library, in RESP2 and RESP3.

use redis::{Client, Connection, RedisResult, Value};
use testkit::process::{Folder, Instance};
use testkit::scripted::{unused_address, PATIENCE};
use testkit::world::{Speech, World, WorldConfig};

struct Setting {
    proxy: Instance,
    _world: World,
    _folder: Folder,
}

fn start(operator: &str) -> Setting {
    let mut config = WorldConfig::new(3, 4, 1);
    config.boxes.iter_mut().step_by(2).for_each(|node| (node.speech, node.pushes) = (Speech::Three, 0.3));
    let world = World::start(config);
    let folder = Folder::new("library").expect("a folder");
    let config = world.proxy_config(0, unused_address());
    let program = testkit::program("trestlesill");
    let mut proxy = Instance::start(&program, &folder.0, &config, Some(operator)).expect("started");
    if !operator.contains("users") {
        proxy.ready(PATIENCE).expect("ready");
    }
    Setting { proxy, _world: world, _folder: folder }
}

/// Connects through the library, retrying until the proxy listens.
fn connect(setting: &Setting, user: &str, query: &str) -> RedisResult<Connection> {
    let client = Client::open(format!("redis://{user}{}/{query}", setting.proxy.address))?;
    let begun = std::time::Instant::now();
    loop {
        match client.get_connection() {
            Err(e) if e.is_connection_refusal() && begun.elapsed() < PATIENCE => {}
            connected => return connected,
        }
    }
}

fn get(connection: &mut Connection, key: u64, id: &str) -> RedisResult<Vec<Value>> {
    redis::cmd("CACHE.GET").arg(format!("{key:016x}")).arg(id).arg("c=pack-lookup,d=700").query(connection)
}

#[test]
fn a_client_library_gets_the_same_replies_in_both_protocols() {
    let setting = start("version = 1\nboxes.resp3 = true");
    let mut resp2 = connect(&setting, "", "").expect("connected");
    let mut resp3 = connect(&setting, "", "?protocol=resp3").expect("connected");
    let text = |value: &Value| match value {
        Value::BulkString(bytes) => String::from_utf8_lossy(bytes).into_owned(),
        Value::VerbatimString { text, .. } => text.clone(),
        other => panic!("{other:?}"),
    };
    for key in 0..24 {
        let resp2_reply = get(&mut resp2, key, &format!("two{key}")).expect("served");
        let resp3_reply = get(&mut resp3, key, &format!("three{key}")).expect("served");
        assert_eq!(text(&resp2_reply[0]), text(&resp3_reply[0]));
        assert!(text(&resp2_reply[0]).starts_with(&format!("{key:016x}:")));
        assert_eq!(
            (resp2_reply.len(), resp3_reply.len(), &resp2_reply[2], &resp3_reply[2]),
            (3, 3, &Value::Nil, &Value::Nil)
        );
    }
    // Other commands that such a library may send.
    for connection in [&mut resp2, &mut resp3] {
        let id: i64 = redis::cmd("CLIENT").arg("ID").query(connection).expect("an id");
        assert!(id > 0);
        let unknown: RedisResult<Value> = redis::cmd("GET").arg("x").query(connection);
        assert!(unknown.expect_err("unknown").to_string().contains("unknown command"));
        let pong: String = redis::cmd("PING").query(connection).expect("a pong");
        assert_eq!(pong, "PONG");
    }
}

#[test]
fn a_client_library_logs_in_or_gets_the_reason_for_its_rejection() {
    let hashed = session::PasswordHash::new(b"swap", [1; session::SALT_BYTES]);
    let setting = start(&format!(
        "version = 1\nboxes.resp3 = true\n[[clients.users]]\nname = \"kiosk\"\npassword = \"{hashed}\"\n"
    ));
    for query in ["", "?protocol=resp3"] {
        let mut kiosk = connect(&setting, "kiosk:swap@", query).expect("connected");
        assert_eq!(get(&mut kiosk, 1, &format!("k{query}")).expect("served").len(), 3);
        let error = connect(&setting, "kiosk:swop@", query).err().expect("refused").to_string();
        assert!(error.to_lowercase().contains("password") || error.contains("WRONGPASS"), "{error}");
    }
    let refused = connect(&setting, "", "").and_then(|mut c| get(&mut c, 1, "n")).expect_err("refused");
    assert!(refused.to_string().contains("NOAUTH"), "{refused}");
}
