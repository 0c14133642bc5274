use super::*;

#[test]
fn the_table_group_is_taken_from_the_schema_of_the_first_table() {
    let group = table_group;
    assert_eq!(
        group("SELECT day, count(*) FROM sales_17.orders WHERE tag = '3f9c' GROUP BY day"),
        Some(17)
    );
    assert_eq!(
        group("insert into stock_4.moves select * from staging.batch_9"),
        Some(4)
    );
    assert_eq!(
        group("select * from staging.x join \"sales_3\".\"orders\" o on o.id = x.id"),
        Some(3)
    );
    assert_eq!(
        group("select 'from sales_1.x' /* from sales_2.y */ from sales_5.z -- sales_6.q"),
        Some(5)
    );
    assert_eq!(
        group("select t_9.day from staging_area.x, sales_8.orders t_9"),
        Some(8)
    );
    assert_eq!(group("update sales_12 . orders set x = 1.5"), Some(12));
    assert_eq!(group("select 1.5 from orders_7"), None);
    assert_eq!(group(""), None);
}
