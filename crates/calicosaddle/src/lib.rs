//! calicosaddle decides, for a proxy that spreads keys over cache servers before a slow origin, which server
//! gets each request. [`balancer`] holds every decision, [`api`] its types.

pub mod api;
pub mod balancer;

pub use balancer::Balancer;
