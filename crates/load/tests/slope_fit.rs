//! Least-squares fits.

use load::slopes::fit;

/// Guards against wrong coefficients: points on a line give that line.
#[test]
fn exact_line() {
    let line = fit(&[(1.0, 5.0), (2.0, 7.0), (4.0, 11.0)]).unwrap();
    assert!((line.start - 3.0).abs() < 1e-9 && (line.slope - 2.0).abs() < 1e-9 && (line.fit - 1.0).abs() < 1e-9);
}

/// Guards against a division by zero when the points do not determine a line.
#[test]
fn too_few() {
    assert_eq!(fit(&[(1.0, 5.0)]), None);
    assert_eq!(fit(&[(1.0, 5.0), (1.0, 6.0)]), None);
}

/// Guards against a good fit reported for points without a trend.
#[test]
fn scattered_points() {
    let line = fit(&[(0.0, 0.0), (1.0, 3.0), (2.0, 0.0)]).unwrap();
    assert!(line.slope.abs() < 1e-9 && line.fit < 0.01, "{line:?}");
}
