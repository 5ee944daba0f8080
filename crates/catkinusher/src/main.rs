//! The operators' client of catkinusher.

use std::env;
use std::io;
use std::process::ExitCode;

use catkinusher::{Invocation, run};

#[tokio::main]
async fn main() -> ExitCode {
    let invocation = Invocation {
        args: env::args().skip(1).collect(),
        objects: env::var("CATKINUSHER_OBJECTS").ok(),
        author: env::var("USER").ok(),
    };
    run(&invocation, &mut io::stdout(), &mut io::stderr())
        .await
        .into()
}
