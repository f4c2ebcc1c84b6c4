//! calicosaddle decides, for a proxy that spreads keys over cache servers before a slow origin, which server
//! gets each request. [`brain`] holds every decision, [`api`] its types, [`wire`] a text codec for
//! the adapter.
#![forbid(unsafe_code)]
#![warn(missing_docs)]
#![doc = include_str!("../README.md")]

pub mod api;
pub mod brain;
pub mod wire;

pub use brain::Brain;
