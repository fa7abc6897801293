//! `gentian-standin`: runs a stand-in engine, service, cloud API or weight store, for tests and trials.

use standin::cli::{Options, Role};
use standin::{cloud, engine, service, weights};

fn main() -> anyhow::Result<()> {
    let options: Options = argh::from_env();
    match options.role {
        Role::Engine(options) => engine::serve(&options),
        Role::Service(options) => service::serve(&options),
        Role::Cloud(options) => cloud::serve(&options),
        Role::Weights(options) => weights::serve(&options),
    }
}
