//! calicosaddle decides, for a proxy that spreads keys over cache servers in front of a slow origin, which server
//! gets each request. [`balancer`] holds the decisions, [`api`] its types.

pub mod api;
pub mod balancer;
mod repeats;

pub use balancer::Balancer;
