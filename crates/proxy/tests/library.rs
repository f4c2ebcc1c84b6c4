//! A common client library, as it comes, in both protocols; and through it what a session is.

use redis::{Client, Connection, RedisResult, Value};
use testkit::process::{Folder, Instance};
use testkit::scripted::{nobody, PATIENCE};
use testkit::world::{Speech, World, WorldConfig};

struct Setting {
    proxy: Instance,
    _world: World,
    _folder: Folder,
}

fn start(operator: &str) -> Setting {
    let mut config = WorldConfig::new(3, 4, 1);
    config.boxes.iter_mut().step_by(2).for_each(|b| (b.speech, b.pushes) = (Speech::Three, 0.3));
    let world = World::start(config);
    let folder = Folder::new("library").expect("a folder");
    let config = world.proxy_config(0, nobody());
    let program = testkit::program("trestlesill");
    let mut proxy = Instance::start(&program, &folder.0, &config, Some(operator)).expect("started");
    if !operator.contains("users") {
        proxy.ready(PATIENCE).expect("ready");
    }
    Setting { proxy, _world: world, _folder: folder }
}

/// Connects as a program would, until the proxy listens.
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
fn a_library_asks_in_both_protocols_and_gets_the_same() {
    let setting = start("version = 1\nboxes.resp3 = true");
    let mut two = connect(&setting, "", "").expect("connected");
    let mut three = connect(&setting, "", "?protocol=resp3").expect("connected");
    let text = |value: &Value| match value {
        Value::BulkString(bytes) => String::from_utf8_lossy(bytes).into_owned(),
        Value::VerbatimString { text, .. } => text.clone(),
        other => panic!("{other:?}"),
    };
    for key in 0..24 {
        let a = get(&mut two, key, &format!("two{key}")).expect("served");
        let b = get(&mut three, key, &format!("three{key}")).expect("served");
        assert_eq!(text(&a[0]), text(&b[0]));
        assert!(text(&a[0]).starts_with(&format!("{key:016x}:")));
        assert_eq!((a.len(), b.len(), &a[2], &b[2]), (3, 3, &Value::Nil, &Value::Nil));
    }
    // What such a library may be told to send.
    for connection in [&mut two, &mut three] {
        let id: i64 = redis::cmd("CLIENT").arg("ID").query(connection).expect("an id");
        assert!(id > 0);
        let unknown: RedisResult<Value> = redis::cmd("GET").arg("x").query(connection);
        assert!(unknown.expect_err("unknown").to_string().contains("unknown command"));
        let pong: String = redis::cmd("PING").query(connection).expect("a pong");
        assert_eq!(pong, "PONG");
    }
}

#[test]
fn a_library_logs_in_or_is_told_why_not() {
    let hashed = session::PasswordHash::new(b"swap", [1; session::SALT_BYTES]);
    let setting = start(&format!(
        "version = 1\nboxes.resp3 = true\n[[clients.users]]\nname = \"kiosk\"\npassword = \"{hashed}\"\n"
    ));
    for query in ["", "?protocol=resp3"] {
        let mut kiosk = connect(&setting, "kiosk:swap@", query).expect("connected");
        assert_eq!(get(&mut kiosk, 1, &format!("k{query}")).expect("served").len(), 3);
        let wrong = connect(&setting, "kiosk:swop@", query).err().expect("refused").to_string();
        assert!(wrong.to_lowercase().contains("password") || wrong.contains("WRONGPASS"), "{wrong}");
    }
    let refused = connect(&setting, "", "").and_then(|mut c| get(&mut c, 1, "n")).expect_err("refused");
    assert!(refused.to_string().contains("NOAUTH"), "{refused}");
}
