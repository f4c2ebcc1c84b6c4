//! Random numbers from a seed, the same on any machine: the generator is xoshiro256++, and logarithms and powers come from a
//! library of their own instead of the system's.

use rand::{Rng, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;

/// A seeded source of random numbers.
#[derive(Clone, Debug)]
pub struct RandomSource(Xoshiro256PlusPlus);

impl RandomSource {
    /// From a seed, for one purpose: streams of different purposes don't disturb each other.
    pub fn new(seed: u64, purpose: u64) -> Self {
        RandomSource(Xoshiro256PlusPlus::seed_from_u64(seed ^ purpose.wrapping_mul(0x9e37_79b9_7f4a_7c15)))
    }

    /// Any number.
    pub fn bits(&mut self) -> u64 {
        self.0.next_u64()
    }

    /// From 0 up to and without 1.
    pub fn unit(&mut self) -> f64 {
        (self.bits() >> 11) as f64 / (1u64 << 53) as f64
    }

    /// Below `n`; 0 where `n` is 0.
    pub fn below(&mut self, n: usize) -> usize {
        ((u128::from(self.bits()) * n as u128) >> 64) as usize
    }

    /// With this probability.
    pub fn happens(&mut self, part: f64) -> bool {
        part > 0.0 && self.unit() < part
    }

    /// Exponential, with mean 1.
    pub fn exponential(&mut self) -> f64 {
        -libm::log(1.0 - self.unit())
    }

    /// In some order.
    pub fn shuffle<T>(&mut self, all: &mut [T]) {
        for i in (1..all.len()).rev() {
            all.swap(i, self.below(i + 1));
        }
    }
}

/// Ranks from 0 with the popularity of Zipf's law, by rejection-inversion (Hörmann and Derflinger, 1996).
#[derive(Clone, Debug)]
pub struct Zipf {
    n: f64,
    s: f64,
    low: f64,
    high: f64,
}

impl Zipf {
    /// `n` ranks; `s` 0 makes all of them alike.
    pub fn new(n: u64, s: f64) -> Self {
        let mut zipf = Zipf { n: n.max(1) as f64, s, low: 0.0, high: 0.0 };
        zipf.low = zipf.integral(1.5) - 1.0;
        zipf.high = zipf.integral(zipf.n + 0.5);
        zipf
    }

    fn integral(&self, x: f64) -> f64 {
        let log = libm::log(x);
        if (1.0 - self.s).abs() < 1e-9 {
            log
        } else {
            libm::expm1((1.0 - self.s) * log) / (1.0 - self.s)
        }
    }

    fn inverse(&self, y: f64) -> f64 {
        if (1.0 - self.s).abs() < 1e-9 {
            libm::exp(y)
        } else {
            libm::exp(libm::log1p((y * (1.0 - self.s)).max(-1.0 + 1e-12)) / (1.0 - self.s))
        }
    }

    /// A rank.
    pub fn draw(&self, chance: &mut RandomSource) -> u64 {
        loop {
            let u = self.high + chance.unit() * (self.low - self.high);
            let x = self.inverse(u);
            let k = libm::round(x).clamp(1.0, self.n);
            if u >= self.integral(k + 0.5) - libm::exp(-self.s * libm::log(k)) {
                return k as u64 - 1;
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn ranks_follow_the_law() {
        for s in [0.0, 0.8, 1.0, 1.3] {
            let (zipf, mut chance, mut seen) = (Zipf::new(50, s), RandomSource::new(7, 1), [0.0; 50]);
            const DRAWS: usize = 200_000;
            for _ in 0..DRAWS {
                seen[zipf.draw(&mut chance) as usize] += 1.0 / DRAWS as f64;
            }
            let whole: f64 = (1..=50).map(|k| f64::from(k).powf(-s)).sum();
            for k in [1, 2, 10, 50] {
                let wanted = f64::from(k).powf(-s) / whole;
                let got = seen[k as usize - 1];
                assert!((got - wanted).abs() < 0.05 * wanted + 0.002, "s {s}, rank {k}: {got} for {wanted}");
            }
        }
    }
}
