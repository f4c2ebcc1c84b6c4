//! Connections as client libraries set them up, and invalid or forbidden commands.

use resp::{Command, CommandParser, Frame, FrameReader, MemoryBudget, Protocol};
use session::*;

fn command(words: &[&str]) -> Command {
    let mut bytes = Vec::new();
    Frame::Array(words.iter().map(Frame::bulk_string).collect()).write(Protocol::Two, &mut bytes);
    let mut parser = CommandParser::new(MemoryBudget::new(1 << 20));
    parser.feed(&bytes).expect("valid").1.expect("complete")
}

struct Client {
    session: Session,
    users: Users,
}

impl Client {
    fn new(users: Vec<User>) -> Self {
        let users = Users::new(users);
        Client { session: Session::new(7, &users), users }
    }

    fn send(&mut self, words: &str) -> Answer {
        let words: Vec<&str> = words.split(' ').collect();
        match self.session.handle(&command(&words), &self.users) {
            CommandOutcome::Answer(answer) => answer,
            CommandOutcome::Request => panic!("{words:?} was not answered"),
        }
    }

    fn send_for_text(&mut self, words: &str) -> String {
        String::from_utf8(self.send(words).bytes.into_owned()).expect("text")
    }

    fn request(&mut self, command_name: &str) -> Result<(), String> {
        match self.session.handle(&command(&[command_name, "1", "a", "c=read"]), &self.users) {
            CommandOutcome::Request => Ok(()),
            CommandOutcome::Answer(answer) => Err(String::from_utf8_lossy(&answer.bytes).into_owned()),
        }
    }
}

fn user(name: &str, password: Option<&str>, commands: &[&str]) -> User {
    User {
        name: name.into(),
        password: password.map(|p| PasswordHash::new(p.as_bytes(), [9; SALT_BYTES])),
        commands: (!commands.is_empty()).then(|| commands.iter().map(|c| (*c).to_owned()).collect()),
        tenants: None,
    }
}

#[test]
fn hello_selects_the_protocol_and_takes_effect_completely_or_not_at_all() {
    let mut client = Client::new(vec![]);
    let hello = client.send_for_text("HELLO");
    assert!(hello.starts_with("*14\r\n$6\r\nserver\r\n") && hello.contains("$5\r\nproto\r\n:2\r\n"));
    let hello = client.send_for_text("hello 3 SETNAME app");
    assert!(
        hello.starts_with("%7\r\n") && hello.contains("$5\r\nproto\r\n:3\r\n$2\r\nid\r\n:7\r\n"),
        "{hello}"
    );
    let (used, frame) = FrameReader::default().feed(hello.as_bytes()).expect("reads");
    assert_eq!((used, frame.and_then(|f| f.get("proto").cloned())), (hello.len(), Some(Frame::Integer(3))));
    assert_eq!(client.send_for_text("CLIENT GETNAME"), "$3\r\napp\r\n");
    for (words, error) in [
        ("HELLO 4", "-NOPROTO unsupported protocol version\r\n"),
        ("HELLO three", "-ERR Protocol version is not an integer or out of range\r\n"),
        ("HELLO 2 SETNAME", "-ERR Syntax error in HELLO option 'SETNAME'\r\n"),
        ("HELLO 2 AUTH default", "-ERR Syntax error in HELLO option 'AUTH'\r\n"),
        (
            "HELLO 2 SETNAME other AUTH nobody x",
            "-WRONGPASS invalid username-password pair or user is disabled.\r\n",
        ),
    ] {
        assert_eq!(client.send_for_text(words), error);
        assert_eq!(
            (client.session.protocol(), client.send_for_text("CLIENT GETNAME")),
            (Protocol::Three, "$3\r\napp\r\n".into())
        );
    }
    let spaced = command(&["HELLO", "2", "SETNAME", "a b"]);
    let CommandOutcome::Answer(refused) = client.session.handle(&spaced, &client.users) else {
        panic!("the command was not answered")
    };
    assert!(refused.bytes.starts_with(b"-ERR Client names") && client.session.protocol() == Protocol::Three);
    // Without configured users any password is accepted, and the client can return to RESP2.
    assert!(client.send_for_text("HELLO 2 AUTH default x").starts_with("*14\r\n"));
    assert_eq!(client.send_for_text("RESET"), "+RESET\r\n");
    assert_eq!(client.send_for_text("CLIENT GETNAME"), "$-1\r\n");
}

#[test]
fn commands_that_client_libraries_send_on_their_own_are_answered() {
    let mut client = Client::new(vec![]);
    for (words, answer) in [
        ("PING", "+PONG\r\n"),
        ("PING x", "$1\r\nx\r\n"),
        ("ECHO x", "$1\r\nx\r\n"),
        ("SELECT 0", "+OK\r\n"),
        ("CLIENT ID", ":7\r\n"),
        ("CLIENT SETINFO LIB-NAME redis-py", "+OK\r\n"),
        ("CLIENT setinfo lib-ver 5.0", "+OK\r\n"),
        ("CLIENT SETINFO OS x", "-ERR Unrecognized option 'OS'\r\n"),
        ("CLIENT NO-EVICT on", "+OK\r\n"),
        ("CLIENT NO-EVICT maybe", "-ERR syntax error\r\n"),
        ("CLIENT TRACKING OFF", "+OK\r\n"),
        ("CLIENT TRACKING ON", "-ERR unknown subcommand 'TRACKING'. Try CLIENT HELP.\r\n"),
        ("CLIENT REPLY OFF", "-ERR unknown subcommand 'REPLY'. Try CLIENT HELP.\r\n"),
        ("CLIENT ID 1", "-ERR wrong number of arguments for 'client|id' command\r\n"),
        ("COMMAND COUNT", ":0\r\n"),
        ("COMMAND DOCS", "*0\r\n"),
        ("COMMAND INFO get set", "*2\r\n$-1\r\n$-1\r\n"),
        ("ECHO", "-ERR wrong number of arguments for 'echo' command\r\n"),
        ("SUBSCRIBE news", "-ERR unknown command\r\n"),
        (
            "AUTH x",
            "-ERR AUTH <password> called without any password configured for the default user. Are you \
            sure your configuration is correct?\r\n",
        ),
    ] {
        assert_eq!(client.send_for_text(words), answer, "{words}");
    }
    client.send_for_text("HELLO 3");
    assert_eq!(client.send_for_text("COMMAND DOCS"), "%0\r\n");
    assert_eq!(client.send_for_text("CLIENT GETNAME"), "_\r\n");
    let quit = client.send("QUIT");
    assert!(quit.close && quit.bytes == &b"+OK\r\n"[..]);
}

#[test]
fn with_users_no_command_works_before_login_and_only_permitted_ones_after_it() {
    let users = || vec![user("kiosk", Some("secret"), &["CACHE.GET"]), user("default", Some("other"), &[])];
    let mut client = Client::new(users());
    let noauth = "-NOAUTH Authentication required.\r\n";
    assert_eq!(client.send_for_text("PING"), noauth);
    assert_eq!(client.request("CACHE.GET"), Err(noauth.into()));
    assert!(client.send_for_text("HELLO 3").starts_with("-NOAUTH HELLO must be called"));
    assert_eq!(client.session.protocol(), Protocol::Two);
    assert!(client.send_for_text("HELLO 3 AUTH kiosk wrong").starts_with("-WRONGPASS"));
    assert!(client.send_for_text("HELLO 3 AUTH kiosk secret").starts_with("%7"));
    assert_eq!(client.request("cache.get"), Ok(()));
    let noperm = "-NOPERM User kiosk has no permissions to run the 'cache.set' command\r\n";
    assert_eq!(client.request("CACHE.SET"), Err(noperm.into()));
    // A wrong password does not change the user; the right password of another user does.
    let wrong = client.send("AUTH kiosk secreT");
    assert!(wrong.wrong_password && !wrong.close && !wrong.accepted);
    assert_eq!(client.request("CACHE.GET"), Ok(()));
    assert_eq!(client.send_for_text("AUTH other"), "+OK\r\n");
    assert_eq!(client.request("CACHE.SET"), Ok(()));
    assert_eq!(client.send_for_text("RESET"), "+RESET\r\n");
    assert_eq!(client.request("CACHE.GET"), Err(noauth.into()));
    // A new connection has the default user if that needs no password.
    let mut unauthenticated =
        Client::new(vec![user("default", None, &["CACHE.GET"]), user("app", Some("x"), &[])]);
    assert_eq!(
        (unauthenticated.request("CACHE.GET"), unauthenticated.request("CACHE.SET").is_err()),
        (Ok(()), true)
    );
    assert_eq!(
        (unauthenticated.send_for_text("AUTH app x"), unauthenticated.request("CACHE.SET")),
        ("+OK\r\n".into(), Ok(()))
    );
}

#[test]
fn too_many_wrong_passwords_close_the_connection_even_with_resets_between_them() {
    let mut client = Client::new(vec![user("kiosk", Some("secret"), &[])]);
    for i in 1..=MAX_LOGIN_FAILURES {
        let long = "x".repeat(MAX_PASSWORD_BYTES + 1);
        let answer =
            client.send(["AUTH kiosk a", "AUTH nobody a", &format!("AUTH kiosk {long}")][usize::from(i) % 3]);
        assert!(answer.wrong_password);
        assert_eq!(answer.close, i == MAX_LOGIN_FAILURES, "{i}");
        client.send_for_text("RESET");
    }
}

#[test]
fn a_password_is_stored_hashed_and_its_hash_is_parsed_again() {
    let stored = PasswordHash::new(b"secret", [3; SALT_BYTES]);
    let text = stored.to_string();
    assert!(!text.contains("secret") && PasswordHash::parse(&text) == Ok(stored.clone()));
    assert_ne!(PasswordHash::new(b"secret", [4; SALT_BYTES]), stored);
    for bad in ["secret", "sha256:00:00", &text[..text.len() - 1], &text.replace("sha256", "md5")] {
        assert_eq!(PasswordHash::parse(bad), Err(InvalidPasswordHash), "{bad}");
    }
    // A password is not truncated at the limit: a longer one with the same beginning is wrong.
    let long = vec![b'x'; MAX_PASSWORD_BYTES];
    let mut client = Client::new(vec![user("a", Some(std::str::from_utf8(&long).expect("text")), &[])]);
    assert!(client
        .send_for_text(&format!("AUTH a {}x", "x".repeat(MAX_PASSWORD_BYTES)))
        .starts_with("-WRONGPASS"));
    assert_eq!(client.send_for_text(&format!("AUTH a {}", "x".repeat(MAX_PASSWORD_BYTES))), "+OK\r\n");
}

#[test]
fn a_user_may_access_its_tenants_only() {
    let mut limited = user("partner", Some("p"), &[]);
    limited.tenants = Some(vec![2]);
    let mut client = Client::new(vec![limited]);
    client.send_for_text("AUTH partner p");
    let check = |t| client.session.check_tenant(t, &client.users);
    assert_eq!(check(Some(2)), Ok(()));
    let refused = Err("-NOPERM User partner has no permissions for this tenant\r\n".to_owned());
    assert_eq!((check(Some(1)), check(None)), (refused.clone(), refused));
}
