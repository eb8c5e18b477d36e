#include <QtCore/QCoreApplication>

#include <gtest/gtest.h>

int main(int argc, char** argv)
{
    testing::InitGoogleTest(&argc, argv);
    const QCoreApplication application(argc, argv);
    return RUN_ALL_TESTS();
}
