//! Paces that upstreams report: what they are worth later, and that wrong or missing ones do no harm.

use std::ops::Range;
use std::time::Duration;

use policy::Tick;
use policy::pace::moment::{BadPace, ExpectedPace, Figure, MomentPace, Pace, PaceTrust};
use policy::pace::{PrefillWork, RelativeSpeed, SpeedEstimate};
use quickcheck::quickcheck;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// Number of upstreams of the simulated service.
const UPSTREAMS: usize = 40;
/// Factor on times of a slowed upstream.
const SLOWED: f64 = 2.5;

fn figure(factor: f64, at_ms: u64) -> Figure {
    let pace = Pace::from_hundredths(factor * 100.0).expect("the factor is a pace");
    let at = Tick::from_millis(at_ms);
    Figure { pace, at }
}

fn paced(factor: f64, age_ms: u64) -> ExpectedPace {
    let age = Some(Duration::from_millis(age_ms));
    ExpectedPace { factor, age }
}

/// A service of which a share of the upstreams is slowed; these are drawn anew after each interval.
struct Service {
    rng: StdRng,
    share: f64,
    redrawn_ms: u64,
    factors: Vec<f64>,
    moments: Vec<MomentPace>,
    trust: PaceTrust,
}

impl Service {
    fn new(share: f64, redrawn_ms: u64) -> Self {
        Self {
            rng: StdRng::seed_from_u64(11),
            share,
            redrawn_ms,
            factors: vec![1.0; UPSTREAMS],
            moments: vec![MomentPace::default(); UPSTREAMS],
            trust: PaceTrust::default(),
        }
    }

    /// Lets each upstream report about ten times per second.
    fn run(&mut self, from_ms: u64, until_ms: u64) {
        for ms in from_ms..until_ms {
            if ms % self.redrawn_ms == 0 {
                let (rng, share) = (&mut self.rng, self.share);
                self.factors
                    .fill_with(|| if rng.random_bool(share) { SLOWED } else { 1.0 });
            }
            for (factor, moment) in self.factors.iter().zip(&mut self.moments) {
                if self.rng.random_bool(0.01) {
                    moment.record_own(figure(*factor, ms), &mut self.trust);
                }
            }
        }
    }
}

/// Guards against a rate of change that is set for one deployment: the lifetime of figures follows how often slowed
/// upstreams are drawn anew, and the mean how many are slowed.
#[test]
fn learns_lifetime() {
    for (redrawn_ms, range_ms) in [(60, 20..=80), (600, 160..=640), (6_000, 1_280..=5_120)] {
        let mut service = Service::new(1.0 / 7.0, redrawn_ms);
        service.run(0, 60_000);
        let (lifetime, mean) = (service.trust.lifetime(), service.trust.mean());
        assert!(
            range_ms.contains(&lifetime.as_millis()),
            "redrawn after {redrawn_ms} ms, lifetime {lifetime:?}"
        );
        assert!(
            (1.12..1.32).contains(&mean),
            "redrawn after {redrawn_ms} ms, mean {mean}"
        );
    }
}

/// Guards against expected paces that are worse than assuming the mean, or than taking old figures as they are.
#[test]
fn predicts_better() {
    let mut service = Service::new(1.0 / 7.0, 600);
    service.run(0, 30_000);
    let (mut by_trust, mut by_mean, mut by_figure) = (0.0, 0.0, 0.0);
    // The interval is no multiple of the one between two draws, so that all phases occur.
    for from_ms in (30_000..90_000).step_by(370) {
        service.run(from_ms, from_ms + 370);
        let now = Tick::from_millis(from_ms + 370);
        for (factor, moment) in service.factors.iter().zip(&service.moments) {
            let newest = moment.newest().expect("each has reported").pace.factor();
            by_trust += (service.trust.expected(moment, now).factor - factor).powi(2);
            by_mean += (service.trust.mean() - factor).powi(2);
            by_figure += (newest - factor).powi(2);
        }
    }
    assert!(
        by_trust < by_mean && by_trust < by_figure,
        "{by_trust}, {by_mean}, {by_figure}"
    );
}

/// Guards against a figure that counts for ever after upstreams have stopped to report.
#[test]
fn figures_stop() {
    let mut service = Service::new(1.0 / 7.0, 600);
    service.run(0, 20_000);
    let mut moment = MomentPace::default();
    moment.record_own(figure(SLOWED, 20_000), &mut service.trust);
    let expected = |ms| service.trust.expected(&moment, Tick::from_millis(ms));
    assert_eq!(expected(20_000), paced(SLOWED, 0));
    assert!(expected(20_200).factor < expected(20_050).factor);
    let late = expected(80_000);
    assert!((late.factor - service.trust.mean()).abs() < 1e-3, "{late:?}");
    assert_eq!(late.age, Some(Duration::from_mins(1)));
}

/// Guards against predictions that change although no upstream of the service reports a pace.
#[test]
fn none_reported() {
    let trust = PaceTrust::default();
    let expected = trust.expected(&MomentPace::default(), Tick::from_millis(5));
    assert_eq!(expected, ExpectedPace::default());
    assert_eq!(expected.known_factor(), None);
    let over = trust.mean_over(1.0, Duration::from_secs(9));
    assert_eq!(over.to_bits(), 1.0_f64.to_bits());
}

/// Engines whose speed is learnt from answers.
struct Learner {
    speed: SpeedEstimate,
    relative: Vec<RelativeSpeed>,
    rng: StdRng,
}

impl Learner {
    const PREFILL: PrefillWork = PrefillWork {
        cached: 0,
        fresh: 4_000,
    };

    fn new() -> Self {
        Self {
            speed: SpeedEstimate::default(),
            relative: vec![RelativeSpeed::default(); UPSTREAMS],
            rng: StdRng::seed_from_u64(3),
        }
    }

    /// Learns from one answer per millisecond, each with the pace that was expected for it if `paced`.
    fn run(&mut self, service: &mut Service, span_ms: Range<u64>, paced: bool) {
        for ms in span_ms {
            service.run(ms, ms + 1);
            let index = self.rng.random_range(0..UPSTREAMS);
            let expected = service
                .trust
                .expected(&service.moments[index], Tick::from_millis(ms))
                .factor;
            let pace = if paced { expected } else { 1.0 };
            let elapsed_ms = 100.0 * service.factors[index] * self.rng.random_range(0.95..1.1);
            let rates = self.speed.rates();
            let service_ms = rates.base_ms + rates.prefill_ms(Self::PREFILL);
            let relative = &mut self.relative[index];
            relative.learn_paced(elapsed_ms, service_ms, pace);
            self.speed.learn(Self::PREFILL, elapsed_ms / pace, relative.factor());
        }
    }

    /// Returns the least, mean and largest lasting time of an upstream.
    fn lasting_ms(&self) -> (f64, f64, f64) {
        let rates = self.speed.rates();
        let service_ms = rates.base_ms + rates.prefill_ms(Self::PREFILL);
        let times = self.relative.iter().map(|relative| relative.factor() * service_ms);
        let (mut least, mut sum, mut most) = (f64::MAX, 0.0, 0.0_f64);
        for ms in times {
            (least, sum, most) = (least.min(ms), sum + ms, most.max(ms));
        }
        (least, sum / UPSTREAMS as f64, most)
    }
}

/// Guards against half of the engines, slowed at once, that make all of them look slow for good, and against a lasting
/// speed that is learnt from a moment.
#[test]
fn nothing_lasting() {
    // A seventh or half of the upstreams, drawn anew again and again or slowed once for a quarter of a minute.
    for (share, redrawn_ms) in [(1.0 / 7.0, 600), (0.5, 600), (0.5, 10_000)] {
        let lasting_ms = |share: f64, paced: bool| {
            let (mut service, mut learner) = (Service::new(0.0, redrawn_ms), Learner::new());
            learner.run(&mut service, 0..10_000, paced);
            service.share = share;
            learner.run(&mut service, 10_000..19_990, paced);
            learner.lasting_ms()
        };
        let (_, even_mean, even_most) = lasting_ms(0.0, true);
        let (_, mean, most) = lasting_ms(share, true);
        let (.., unpaced_most) = lasting_ms(share, false);
        println!("{share:.2} slowed: mean {mean:.0}, most {most:.0}, without paces {unpaced_most:.0}");
        assert!(
            (0.8..1.25).contains(&(mean / even_mean)),
            "{share} slowed: {mean} ms, {even_mean} ms without"
        );
        // Some figures are outdated when they are used, and their noise remains.
        let excess = (most - even_most) / (unpaced_most - even_most);
        assert!(
            excess < 0.25,
            "{share} slowed: {most} ms, {even_most} ms without, {unpaced_most} ms without paces"
        );
        assert!(
            unpaced_most > even_mean * 1.7,
            "{share} slowed: {unpaced_most} ms are learnt without paces"
        );
    }
}

/// Guards against an upstream whose figure is wrong: whatever it reports all the time, its lasting factor makes up for
/// it, and the others keep theirs.
#[test]
fn false_figure() {
    for (reported, real) in [(1.0, 3.0), (10.0, 1.0), (100.0, 1.0), (0.1, 1.0)] {
        let mut service = Service::new(1.0 / 7.0, 600);
        let (mut moment, mut relative) = (MomentPace::default(), RelativeSpeed::default());
        let mut expected = ExpectedPace::default();
        for ms in 0..30_000 {
            service.run(ms, ms + 1);
            if ms % 50 == 0 {
                expected = service.trust.expected(&moment, Tick::from_millis(ms));
                relative.learn_paced(100.0 * real, 100.0, expected.factor);
                moment.record_own(figure(reported, ms), &mut service.trust);
            }
        }
        let predicted = expected.factor * relative.factor();
        assert!(
            (real * 0.6..real * 1.6).contains(&predicted),
            "{reported} reported, {predicted} predicted"
        );
        let mean = service.trust.mean();
        assert!((1.0..1.6).contains(&mean), "{reported} reported, mean {mean}");
        let lifetime_ms = service.trust.lifetime().as_millis();
        assert!(
            (160..=640).contains(&lifetime_ms),
            "{reported} reported, lifetime {lifetime_ms} ms"
        );
    }
}

/// Guards against an older figure that replaces a newer one, a host's own figure that returns to it as a newer one, and
/// a figure from the future that is worth more than one of now.
#[test]
fn newest_counts() {
    let (mut moment, mut trust) = (MomentPace::default(), PaceTrust::default());
    moment.record_own(figure(2.0, 1_000), &mut trust);
    moment.record_own(figure(1.0, 900), &mut trust);
    moment.record_shared(figure(1.0, 900), &mut trust);
    moment.record_shared(figure(2.0, 1_040), &mut trust);
    assert_eq!(moment.own(), Some(figure(2.0, 1_000)));
    moment.record_shared(figure(3.0, 1_100), &mut trust);
    assert_eq!((moment.newest(), moment.own()), (Some(figure(3.0, 1_100)), None));
    let early = trust.expected(&moment, Tick::from_millis(500));
    assert_eq!(early, paced(3.0, 0));
}

/// Guards against figures that are no paces.
#[test]
fn bad_figures() {
    for (value, error) in [
        (0.0, BadPace::NotPositive),
        (-1.0, BadPace::NotPositive),
        (f64::NEG_INFINITY, BadPace::NotPositive),
        (f64::NAN, BadPace::NotNumber),
        (10_000.5, BadPace::TooLarge),
        (f64::INFINITY, BadPace::TooLarge),
    ] {
        assert_eq!(Pace::from_hundredths(value), Err(error), "{value}");
    }
    assert_eq!(Pace::from_hundredths(0.001).map(Pace::hundredths), Ok(1));
    assert_eq!(Pace::from_hundredths(100.0), Ok(Pace::USUAL));
}

quickcheck! {
    /// Whatever upstreams report and whenever, the expected factor stays among the factors reported and the usual one:
    /// zero or infinity would send all requests to one upstream, or none.
    fn stays_bounded(figures: Vec<(u8, u16, u16, bool)>) -> bool {
        let mut trust = PaceTrust::default();
        let mut moments = vec![MomentPace::default(); 256];
        let (mut least, mut most) = (1.0_f64, 1.0_f64);
        figures.into_iter().all(|(index, hundredths, at_ms, shared)| {
            let Ok(pace) = Pace::from_hundredths(f64::from(hundredths)) else {
                return true;
            };
            (least, most) = (least.min(pace.factor()), most.max(pace.factor()));
            let reported = Figure { pace, at: Tick::from_millis(u64::from(at_ms)) };
            let moment = &mut moments[usize::from(index)];
            if shared {
                moment.record_shared(reported, &mut trust);
            } else {
                moment.record_own(reported, &mut trust);
            }
            let factor = trust.expected(moment, Tick::from_millis(u64::from(at_ms) + 7)).factor;
            let over = trust.mean_over(factor, Duration::from_millis(u64::from(at_ms)));
            [factor, over].iter().all(|one| *one > least - 1e-9 && *one < most + 1e-9)
        })
    }
}
