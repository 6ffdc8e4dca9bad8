//! Reading a scenario, and holding a report against what it expects.

use std::collections::BTreeMap;
use std::fmt;

use thiserror::Error;

use super::{Expect, Scenario, Step};

/// Most processes of the program in a scenario.
const MAX_NODES: usize = 2_000;
/// Most backends in a scenario.
const MAX_BACKENDS: usize = 20_000;
/// Longest scenario, seconds.
const MAX_LENGTH_S: f64 = 3_600.0;

/// Why a file is no scenario.
#[derive(Debug, Error)]
pub enum ScenarioError {
    /// It can't be parsed; the text names line and column.
    #[error("{0}")]
    Syntax(#[from] toml::de::Error),
    /// Too few or too many nodes, zones or backends.
    #[error("fleet: 1 to 2,000 nodes, at least one zone, at most 20,000 backends")]
    FleetSize,
    /// No length, or too long.
    #[error("length_s: above 0, at most 3,600")]
    Length,
    /// Requests of no class.
    #[error("traffic: a rate and no class")]
    NoClass,
    /// A step before the start, or for a part that does not exist.
    #[error("at {at_s} s: parts lie between 0 and 1, times are 0 or more")]
    StepBounds {
        /// When the step is.
        at_s: f64,
    },
    /// A step whose size is not a positive number.
    #[error("at {at_s} s: size must be above 0")]
    StepSize {
        /// When the step is.
        at_s: f64,
    },
    /// An expectation without a bound.
    #[error("expect `{figure}`: neither least nor most")]
    NoBound {
        /// Name of the figure.
        figure: String,
    },
}

/// An expectation that does not hold.
#[derive(Clone, Debug)]
pub struct UnmetExpectation {
    /// The expectation.
    pub expect: Expect,
    /// The figure; `None` if the run has not counted it.
    pub measured: Option<f64>,
}

impl fmt::Display for UnmetExpectation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Expect {
            figure,
            least,
            most,
        } = &self.expect;
        let Some(measured) = self.measured else {
            return write!(f, "{figure} was not counted");
        };
        write!(f, "{figure} is {measured:.3}, wanted")?;
        if let Some(least) = least {
            write!(f, " at least {least}")?;
        }
        if let Some(most) = most {
            write!(f, " at most {most}")?;
        }
        Ok(())
    }
}

impl Scenario {
    /// Reads a scenario.
    ///
    /// # Errors
    ///
    /// If the text can't be parsed, or has a value out of its bounds.
    pub fn parse(text: &str) -> Result<Scenario, ScenarioError> {
        let scenario: Scenario = toml::from_str(text)?;
        scenario.validate()?;
        Ok(scenario)
    }

    fn validate(&self) -> Result<(), ScenarioError> {
        let fleet = &self.fleet;
        let nodes_in_bounds = (1..=MAX_NODES).contains(&fleet.nodes);
        if !nodes_in_bounds || fleet.zones == 0 || fleet.backends > MAX_BACKENDS {
            return Err(ScenarioError::FleetSize);
        }
        if !(self.length_s > 0.0 && self.length_s <= MAX_LENGTH_S) {
            return Err(ScenarioError::Length);
        }
        if self.traffic.rate > 0.0 && self.traffic.class.is_empty() {
            return Err(ScenarioError::NoClass);
        }
        self.at.iter().try_for_each(Step::validate)?;
        self.expect.iter().try_for_each(Expect::validate)
    }

    /// The expectations that these figures don't meet. One whose figure was not counted is unmet.
    pub fn unmet(&self, figures: &BTreeMap<String, f64>) -> Vec<UnmetExpectation> {
        let expectations = self.expect.iter();
        let checked = expectations.map(|expect| UnmetExpectation {
            expect: expect.clone(),
            measured: figures.get(&expect.figure).copied(),
        });
        checked
            .filter(|checked| !checked.expect.is_met_by(checked.measured))
            .collect()
    }
}

impl Step {
    fn validate(&self) -> Result<(), ScenarioError> {
        let at_s = self.at_s;
        let part_in_bounds = self.part.iter().all(|end| (0.0..=1.0).contains(end));
        if !part_in_bounds || at_s < 0.0 {
            return Err(ScenarioError::StepBounds { at_s });
        }
        if !(self.size > 0.0 && self.size.is_finite()) {
            return Err(ScenarioError::StepSize { at_s });
        }
        Ok(())
    }
}

impl Expect {
    fn validate(&self) -> Result<(), ScenarioError> {
        if self.least.is_none() && self.most.is_none() {
            let figure = self.figure.clone();
            return Err(ScenarioError::NoBound { figure });
        }
        Ok(())
    }

    fn is_met_by(&self, measured: Option<f64>) -> bool {
        let Some(measured) = measured else {
            return false;
        };
        let too_low = self.least.is_some_and(|least| measured < least);
        let too_high = self.most.is_some_and(|most| measured > most);
        !(too_low || too_high || measured.is_nan())
    }
}
