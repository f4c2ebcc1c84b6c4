//! The soak on a few fixed seeds, and its plans as files.

use serde_json::Value;
use std::process::{Command, Output};
use testkit::process::Folder;
use testkit::program;

/// Runs `trestlelab soak` with these arguments.
fn soak(arguments: &[&str]) -> Output {
    Command::new(program("trestlelab")).arg("soak").args(arguments).output().expect("the tool runs")
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

/// Guards against a rule that is broken under troubles that other tests play one by one.
#[test]
fn no_rule_is_broken_on_fixed_seeds() {
    for seed in ["1", "4", "5", "8"] {
        let output = soak(&["--seed", seed, "--seconds", "8"]);
        assert!(output.status.success(), "{}{}", text(&output.stdout), text(&output.stderr));
        assert!(text(&output.stdout).contains("served"), "{}", text(&output.stdout));
    }
}

#[test]
fn a_seed_gives_the_same_plan_and_a_plan_can_be_kept_edited_and_played_again() {
    let drawn = || text(&soak(&["--seed", "7", "--seconds", "2", "--print"]).stdout);
    assert_eq!(drawn(), drawn());
    let mut plan: Value = serde_json::from_str(&drawn()).expect("JSON");
    plan["troubles"] = serde_json::json!([]);
    let folder = Folder::new("plan").expect("a folder");
    let path = folder.0.join("plan.json");
    std::fs::write(&path, plan.to_string()).expect("written");
    let output = soak(&["--plan", &path.to_string_lossy(), "--json"]);
    assert!(output.status.success(), "{}", text(&output.stderr));
    let report: Value = serde_json::from_slice(&output.stdout).expect("JSON");
    assert_eq!(report["plan"], plan);
    assert!(report["outcome"]["ends"]["served"].as_u64() > Some(0), "{report}");
}

#[test]
fn an_unknown_trouble_or_a_file_that_is_no_plan_is_named() {
    let output = soak(&["--only", "weather"]);
    assert_eq!(output.status.code(), Some(2));
    assert!(text(&output.stderr).contains("weather"), "{}", text(&output.stderr));
    let output = soak(&["--plan", "/dev/null"]);
    assert_eq!(output.status.code(), Some(2));
    assert!(text(&output.stderr).contains("/dev/null"), "{}", text(&output.stderr));
}

/// Guards against a judge that finds nothing: a process over its memory limit is a broken limit, and the exit code says so.
#[test]
fn a_broken_limit_is_reported_with_its_seed_and_plan() {
    let drawn = text(&soak(&["--seed", "7", "--seconds", "2", "--print"]).stdout);
    let mut plan: Value = serde_json::from_str(&drawn).expect("JSON");
    (plan["troubles"], plan["memory_mb"]) = (serde_json::json!([]), serde_json::json!(1));
    let folder = Folder::new("limit").expect("a folder");
    let path = folder.0.join("plan.json");
    std::fs::write(&path, plan.to_string()).expect("written");
    let output = soak(&["--plan", &path.to_string_lossy()]);
    assert_eq!(output.status.code(), Some(1));
    let error = text(&output.stderr);
    assert!(
        error.contains("seed 7") && error.contains("memory") && error.contains("\"troubles\":[]"),
        "{error}"
    );
}
