//! Sessions as client libraries set them up, and as others try to.

use resp::{Command, CommandParser, Frame, FrameReader, MemoryBudget, Protocol};
use session::*;

fn command(words: &[&str]) -> Command {
    let mut bytes = Vec::new();
    Frame::Array(words.iter().map(Frame::bulk_string).collect()).write(Protocol::Two, &mut bytes);
    let mut parser = CommandParser::new(MemoryBudget::new(1 << 20));
    parser.feed(&bytes).expect("reads").1.expect("whole")
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

    fn answer(&mut self, words: &str) -> Answer {
        let words: Vec<&str> = words.split(' ').collect();
        match self.session.handle(&command(&words), &self.users) {
            CommandOutcome::Answer(answer) => answer,
            CommandOutcome::Request => panic!("{words:?} is a request"),
        }
    }

    fn says(&mut self, words: &str) -> String {
        String::from_utf8(self.answer(words).bytes.into_owned()).expect("text")
    }

    fn asks(&mut self, command_name: &str) -> Result<(), String> {
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
fn hello_chooses_the_protocol_and_all_of_it_holds_or_nothing() {
    let mut client = Client::new(vec![]);
    let hello = client.says("HELLO");
    assert!(hello.starts_with("*14\r\n$6\r\nserver\r\n") && hello.contains("$5\r\nproto\r\n:2\r\n"));
    let hello = client.says("hello 3 SETNAME app");
    assert!(
        hello.starts_with("%7\r\n") && hello.contains("$5\r\nproto\r\n:3\r\n$2\r\nid\r\n:7\r\n"),
        "{hello}"
    );
    let (used, frame) = FrameReader::default().feed(hello.as_bytes()).expect("reads");
    assert_eq!((used, frame.and_then(|f| f.get("proto").cloned())), (hello.len(), Some(Frame::Integer(3))));
    assert_eq!(client.says("CLIENT GETNAME"), "$3\r\napp\r\n");
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
        assert_eq!(client.says(words), error);
        assert_eq!(
            (client.session.protocol(), client.says("CLIENT GETNAME")),
            (Protocol::Three, "$3\r\napp\r\n".into())
        );
    }
    let spaced = command(&["HELLO", "2", "SETNAME", "a b"]);
    let CommandOutcome::Answer(refused) = client.session.handle(&spaced, &client.users) else {
        panic!("a request")
    };
    assert!(refused.bytes.starts_with(b"-ERR Client names") && client.session.protocol() == Protocol::Three);
    // Any password is the default user's where there are no users; and the protocol can be taken back.
    assert!(client.says("HELLO 2 AUTH default x").starts_with("*14\r\n"));
    assert_eq!(client.says("RESET"), "+RESET\r\n");
    assert_eq!(client.says("CLIENT GETNAME"), "$-1\r\n");
}

#[test]
fn what_client_libraries_send_by_themselves_is_answered() {
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
        assert_eq!(client.says(words), answer, "{words}");
    }
    client.says("HELLO 3");
    assert_eq!(client.says("COMMAND DOCS"), "%0\r\n");
    assert_eq!(client.says("CLIENT GETNAME"), "_\r\n");
    let quit = client.answer("QUIT");
    assert!(quit.close && quit.bytes == &b"+OK\r\n"[..]);
}

#[test]
fn with_users_nothing_goes_before_the_password_and_then_what_the_user_may() {
    let users = || vec![user("kiosk", Some("secret"), &["CACHE.GET"]), user("default", Some("other"), &[])];
    let mut client = Client::new(users());
    let noauth = "-NOAUTH Authentication required.\r\n";
    assert_eq!(client.says("PING"), noauth);
    assert_eq!(client.asks("CACHE.GET"), Err(noauth.into()));
    assert!(client.says("HELLO 3").starts_with("-NOAUTH HELLO must be called"));
    assert_eq!(client.session.protocol(), Protocol::Two);
    assert!(client.says("HELLO 3 AUTH kiosk wrong").starts_with("-WRONGPASS"));
    assert!(client.says("HELLO 3 AUTH kiosk secret").starts_with("%7"));
    assert_eq!(client.asks("cache.get"), Ok(()));
    let noperm = "-NOPERM User kiosk has no permissions to run the 'cache.set' command\r\n";
    assert_eq!(client.asks("CACHE.SET"), Err(noperm.into()));
    // A wrong password changes nothing; the right one of another user does.
    let wrong = client.answer("AUTH kiosk secreT");
    assert!(wrong.wrong_password && !wrong.close && !wrong.accepted);
    assert_eq!(client.asks("CACHE.GET"), Ok(()));
    assert_eq!(client.says("AUTH other"), "+OK\r\n");
    assert_eq!(client.asks("CACHE.SET"), Ok(()));
    assert_eq!(client.says("RESET"), "+RESET\r\n");
    assert_eq!(client.asks("CACHE.GET"), Err(noauth.into()));
    // A default user without a password is what a connection is at first.
    let mut open = Client::new(vec![user("default", None, &["CACHE.GET"]), user("app", Some("x"), &[])]);
    assert_eq!((open.asks("CACHE.GET"), open.asks("CACHE.SET").is_err()), (Ok(()), true));
    assert_eq!((open.says("AUTH app x"), open.asks("CACHE.SET")), ("+OK\r\n".into(), Ok(())));
}

#[test]
fn a_flood_of_wrong_passwords_ends_the_connection_also_over_resets() {
    let mut client = Client::new(vec![user("kiosk", Some("secret"), &[])]);
    for i in 1..=MAX_LOGIN_FAILURES {
        let long = "x".repeat(MAX_PASSWORD_BYTES + 1);
        let answer = client
            .answer(["AUTH kiosk a", "AUTH nobody a", &format!("AUTH kiosk {long}")][usize::from(i) % 3]);
        assert!(answer.wrong_password);
        assert_eq!(answer.close, i == MAX_LOGIN_FAILURES, "{i}");
        client.says("RESET");
    }
}

#[test]
fn a_password_is_kept_hashed_and_read_back() {
    let kept = PasswordHash::new(b"secret", [3; SALT_BYTES]);
    let text = kept.to_string();
    assert!(!text.contains("secret") && PasswordHash::parse(&text) == Ok(kept.clone()));
    assert_ne!(PasswordHash::new(b"secret", [4; SALT_BYTES]), kept);
    for bad in ["secret", "sha256:00:00", &text[..text.len() - 1], &text.replace("sha256", "md5")] {
        assert_eq!(PasswordHash::parse(bad), Err(InvalidPasswordHash), "{bad}");
    }
    // Its limit cuts no password short: one that only begins like it is another.
    let long = vec![b'x'; MAX_PASSWORD_BYTES];
    let mut client = Client::new(vec![user("a", Some(std::str::from_utf8(&long).expect("text")), &[])]);
    assert!(client.says(&format!("AUTH a {}x", "x".repeat(MAX_PASSWORD_BYTES))).starts_with("-WRONGPASS"));
    assert_eq!(client.says(&format!("AUTH a {}", "x".repeat(MAX_PASSWORD_BYTES))), "+OK\r\n");
}

#[test]
fn tenants_are_held_to() {
    let mut limited = user("partner", Some("p"), &[]);
    limited.tenants = Some(vec![2]);
    let mut client = Client::new(vec![limited]);
    client.says("AUTH partner p");
    let may = |t| client.session.check_tenant(t, &client.users);
    assert_eq!(may(Some(2)), Ok(()));
    let refused = Err("-NOPERM User partner has no permissions for this tenant\r\n".to_owned());
    assert_eq!((may(Some(1)), may(None)), (refused.clone(), refused));
}
