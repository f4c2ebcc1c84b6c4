//! Builds the library of `shim`, which tests preload into the programs. Cargo builds no dynamic library as a dependency, so
//! the compiler is called here.

use std::env;
use std::path::PathBuf;
use std::process::Command;

/// The environment variable by which the crate finds the library.
const LIBRARY_VARIABLE: &str = "SYSCALL_FAULTS_LIBRARY";

fn main() {
    let source = "shim/src/lib.rs";
    println!("cargo::rerun-if-changed={source}");
    let folder = PathBuf::from(env::var_os("OUT_DIR").expect("cargo sets OUT_DIR"));
    let library = folder.join("libsyscall_faults.so");
    let mut compiler = Command::new(env::var_os("RUSTC").expect("cargo sets RUSTC"));
    compiler.args([
        "--edition=2021",
        "--crate-name=syscall_faults",
        "--crate-type=cdylib",
        "-Copt-level=2",
        "-o",
    ]);
    compiler.arg(&library).arg(source);
    assert!(compiler.status().expect("the compiler runs").success(), "{source} does not compile");
    println!("cargo::rustc-env={LIBRARY_VARIABLE}={}", library.display());
}
