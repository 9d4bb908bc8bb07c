//! A linear program and its dual, solved by `good_lp` with `microlp`.

use good_lp::{Expression, ProblemVariables, Solution, SolverModel, variable};

/// Maximizes `objective * x` subject to `rows * x <= limits` and `x >= 0`.
#[derive(Clone, Debug, Default)]
pub(crate) struct Program {
    /// Factor of each variable in the objective.
    pub objective: Vec<f64>,
    /// Constraints: terms of variable and factor, and the limit of their sum.
    pub rows: Vec<(Vec<(usize, f64)>, f64)>,
}

impl Program {
    /// Adds a variable with its factor in the objective and returns its index.
    pub fn variable(&mut self, factor: f64) -> usize {
        self.objective.push(factor);
        self.objective.len() - 1
    }

    /// Adds a constraint and returns its row, which is the index of its shadow price in the solution of the dual.
    pub fn limit(&mut self, terms: Vec<(usize, f64)>, limit: f64) -> usize {
        self.rows.push((terms, limit));
        self.rows.len() - 1
    }

    /// The optimal values of the variables, or the error of the solver.
    pub fn solve(&self) -> Result<Vec<f64>, String> {
        let mut vars = ProblemVariables::new();
        let x = vars.add_vector(variable().min(0.0), self.objective.len());
        let sum = |terms: &mut dyn Iterator<Item = (usize, f64)>| {
            terms.fold(
                Expression::with_capacity(8),
                |mut sum, (variable, factor)| {
                    sum.add_mul(factor, x[variable]);
                    sum
                },
            )
        };
        let mut model = vars
            .maximise(sum(&mut self.objective.iter().copied().enumerate()))
            .using(good_lp::solvers::microlp::microlp);
        for (terms, limit) in &self.rows {
            model.add_constraint(sum(&mut terms.iter().copied()).leq(*limit));
        }
        let solution = model.solve().map_err(|e| e.to_string())?;
        Ok(x.iter().map(|v| solution.value(*v).max(0.0)).collect())
    }

    /// The dual program: its optimal values are the shadow prices of this program's rows.
    pub fn dual(&self) -> Program {
        let mut rows: Vec<(Vec<(usize, f64)>, f64)> = self
            .objective
            .iter()
            .map(|factor| (Vec::new(), -factor))
            .collect();
        for (row, (terms, _)) in self.rows.iter().enumerate() {
            for (variable, value) in terms {
                rows[*variable].0.push((row, -value));
            }
        }
        Program {
            objective: self.rows.iter().map(|(_, limit)| -limit).collect(),
            rows,
        }
    }
}
