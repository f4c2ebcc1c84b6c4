//! The command line: scenarios, interrupted sweeps, comparisons, reports and campaigns.

use std::path::Path;
use std::process::{Command, Output};
use testkit::process::Folder;

fn lab(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_trestlelab")).args(args).output().expect("run")
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

fn path(folder: &Folder, name: &str) -> String {
    folder.0.join(name).to_str().expect("text").to_owned()
}

fn write(folder: &Folder, name: &str, what: &str) -> String {
    std::fs::write(folder.0.join(name), what).expect("written");
    path(folder, name)
}

const SHORT: &str = "version = 1\nname = 'short'\nguards = 'tests'\nduration_s = 6\nwarm_s = 1\n\
    [traffic]\nrate = 300\n[[faults]]\nat_s = 2\nlasts_s = 2\nkind = 'silent'\nboxes = 0.2\n";

#[test]
fn every_built_in_scenario_is_valid_and_meets_its_goals() {
    let listed = text(&lab(&["scenarios"]).stdout);
    let names: Vec<&str> = listed.lines().filter_map(|l| l.split(' ').next()).collect();
    assert!(names.len() >= 10);
    std::thread::scope(|s| {
        for name in names {
            s.spawn(move || {
                // Scenarios with hundreds of boxes run here at a smaller size.
                let small: &[&str] = if name.starts_with("mass-") { &["--boxes", "20"] } else { &[] };
                let run = lab(&[&["run", name, "--seed", "3"], small].concat());
                assert_eq!(run.status.code(), Some(0), "{name}: {}{}", text(&run.stdout), text(&run.stderr));
                assert!(lab(&["check", name]).status.success());
            });
        }
    });
}

#[test]
fn a_missed_goal_exits_with_1_and_invalid_input_with_2() {
    let folder = Folder::new("lab").expect("a folder");
    let missed = write(&folder, "missed.toml", &format!("holds = {{ p99_ms = 1.0 }}\n{SHORT}"));
    let run = lab(&["run", &missed]);
    assert_eq!((run.status.code(), text(&run.stderr).contains("p99_ms is")), (Some(1), true));
    let wrong = write(&folder, "wrong.toml", "version = 1\nname = ''\nrate = 3\n[traffic]\nwrites = 7\n");
    let run = lab(&["check", &wrong]);
    let printed = text(&run.stderr);
    assert_eq!((run.status.code(), printed.lines().count()), (Some(2), 4), "{printed}");
    assert_eq!(lab(&["run", "no-such-day"]).status.code(), Some(2));
    assert_eq!(lab(&["run", "calm-day", "--policy", "best"]).status.code(), Some(2));
    // A scenario that can't be run over sockets is rejected before any process is started.
    let run = lab(&["run", "cold-growth", "--in", "sockets"]);
    assert_eq!(run.status.code(), Some(2));
    assert!(text(&run.stderr).contains("grow is available in the model only"), "{}", text(&run.stderr));
}

fn sweep(folder: &Folder, out: &str, rest: &str) -> Output {
    let plan =
        format!("version = 1\nscenario = 'short.toml'\npolicies = ['shipped', 'random']\nseeds = 4\n{rest}");
    let plan = write(folder, "plan.toml", &plan);
    lab(&["sweep", &plan, "--out", &path(folder, out), "--threads", "2"])
}

#[test]
fn an_interrupted_sweep_resumes_and_prints_the_same_table() {
    let folder = Folder::new("lab").expect("a folder");
    write(&folder, "short.toml", SHORT);
    let vary = "[vary]\n'topology.boxes' = [9, 12]";
    let whole = sweep(&folder, "whole", vary);
    assert_eq!(whole.status.code(), Some(0), "{}", text(&whole.stderr));
    let lines = std::fs::read_to_string(folder.0.join("whole/results.jsonl")).expect("results");
    assert_eq!(lines.lines().count(), 16);
    // A process that is killed in the middle of a write leaves an incomplete last line.
    std::fs::create_dir(folder.0.join("torn")).expect("made");
    let cut: String = lines.lines().take(5).map(|l| format!("{l}\n")).collect::<String>() + &lines[..700];
    std::fs::write(folder.0.join("torn/results.jsonl"), cut).expect("written");
    let resumed = sweep(&folder, "torn", vary);
    assert_eq!(text(&resumed.stdout), text(&whole.stdout));
    let again = std::fs::read_to_string(folder.0.join("torn/results.jsonl")).expect("results");
    let sorted = |t: &str| {
        let mut all: Vec<String> = t.lines().map(str::to_owned).collect();
        all.sort();
        all
    };
    assert_eq!(sorted(&again), sorted(&lines));
    // An invalid line in the middle of the file is an error and is not skipped.
    let other_schema = lines.replacen("\"schema\":1", "\"schema\":9", 1);
    std::fs::write(folder.0.join("torn/results.jsonl"), other_schema).expect("written");
    assert_eq!(sweep(&folder, "torn", vary).status.code(), Some(2));
    // A value out of bounds is reported before any run starts.
    let bad = sweep(&folder, "bad", "[vary]\n'topology.boxes' = [9, 0]\n'traffic.writes' = [2.0]");
    let printed = text(&bad.stderr);
    assert_eq!(bad.status.code(), Some(2));
    assert!(
        printed.contains("topology.boxes: is 0") && printed.contains("traffic.writes: is 2"),
        "{printed}"
    );
    assert!(!Path::new(&path(&folder, "bad")).exists());
}

#[test]
fn compare_shows_only_real_differences_and_report_writes_a_page() {
    let folder = Folder::new("lab").expect("a folder");
    write(&folder, "short.toml", SHORT);
    assert!(sweep(&folder, "out", "").status.success());
    let out = path(&folder, "out");
    let compared =
        |a: &str, b: &str| text(&lab(&["compare", &format!("{out}:{a}"), &format!("{out}:{b}")]).stdout);
    let same = compared("shipped", "shipped");
    assert_eq!(same.matches("no difference shown").count(), 4, "{same}");
    let other = compared("shipped", "random");
    let p99 = other.lines().find(|l| l.contains("p99 ms")).expect("a line");
    assert!(!p99.contains("no difference"), "{other}");
    assert_eq!(lab(&["compare", &out, &out]).status.code(), Some(2));
    assert!(lab(&["report", &out]).status.success());
    let page = std::fs::read_to_string(folder.0.join("out/report.html")).expect("a page");
    assert!(page.matches("<svg").count() == 5 && !page.contains("src="), "not in one file");
    assert!(std::fs::metadata(folder.0.join("out/plot-000-1.png")).is_ok_and(|m| m.len() > 1_000));
}

/// A fake bench, which writes an entry to the journal of its working directory and prints the entry's name.
const BENCH: &str = r#"#!/bin/sh
echo "$@" >> calls
id="$3-$5-$(wc -l < calls | tr -d ' ')"
lost=0; [ "$5" = 13 ] && lost=2
mkdir -p journal
cat > "journal/20260101T000000-$id.json" <<END
{"v":1,"error":null,"digest":"G 0.6\nprices: origin 0.0400, waste 0.0030\nrules","days":[{"G":0.6,"G_top":0.7,
"score":0.8,"served":0.7,"served_least":0.25,"by_class":[["a",0.6,0.2]],"rules":{"lost":$lost,"dup":0},"fault":null,
"gate":null,"memory_mb":1,"files":40,"caps":[48,512,0.2]}]}
END
echo "snapshot $id"
"#;

#[test]
fn a_campaign_runs_each_day_once_per_side_and_reports_a_broken_rule() {
    use std::os::unix::fs::PermissionsExt;
    let folder = Folder::new("lab").expect("a folder");
    let bench = write(&folder, "bench", BENCH);
    std::fs::set_permissions(&bench, std::fs::Permissions::from_mode(0o755)).expect("set");
    let site = write(&folder, "site.toml", "");
    let sides = ["here", "there"].map(|side| folder.0.join(side));
    for side in &sides {
        std::fs::create_dir_all(side.join("deploy")).expect("made");
        std::fs::write(side.join("deploy/balancer.toml"), "").expect("written");
    }
    let out = path(&folder, "plays.jsonl");
    let campaign = |more: &[&str]| {
        let mut command = std::process::Command::new(env!("CARGO_BIN_EXE_trestlelab"));
        command.current_dir(&sides[0]).args(["campaign", "--bench", &bench, "--site", &site, "--out", &out]);
        command.args(["--why", "a test", "--kinds", "calm,join", "--lanes", "3"]);
        command.args(more).output().expect("run")
    };
    let there = sides[1].to_str().expect("a path");
    let first = campaign(&["--seeds", "7,8", "--against", there]);
    let printed = text(&first.stdout);
    assert_eq!(first.status.code(), Some(0), "{printed}{}", text(&first.stderr));
    assert!(
        printed.lines().count() == 2 + 8
            && printed.contains("| served 2.8 times |")
            && printed.contains("origin 0.040"),
        "{printed}"
    );
    // Recorded plays are not repeated; a broken rule shows in the table and in the exit code.
    let calls =
        |side: usize| std::fs::read_to_string(sides[side].join("calls")).expect("calls").lines().count();
    assert_eq!((calls(0), calls(1)), (4, 4));
    let second = campaign(&["--seeds", "7,8,13"]);
    assert_eq!((second.status.code(), calls(0), calls(1)), (Some(1), 6, 4), "{}", text(&second.stderr));
    assert!(text(&second.stdout).contains("| lost 2 times |"));
    let bad = campaign(&["--seeds", "7", "--against", "nowhere"]);
    assert!(bad.status.code() == Some(2) && text(&bad.stderr).contains("nowhere: is not there"));
}
